package standinworker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// maxObjectBytes bounds an object that a worker reads.
const maxObjectBytes = 16 << 20

// objects reaches the platform's object store with GET, PUT and DELETE of
// <platform>/objects/<key>, the key as one escaped path segment.
type objects struct {
	platform string
}

var _ object.Store = objects{}

// Get returns the content of an object.
func (o objects) Get(ctx context.Context, key object.Key) ([]byte, error) {
	return o.do(ctx, http.MethodGet, key, nil)
}

// Put writes an object.
func (o objects) Put(ctx context.Context, key object.Key, content []byte) error {
	_, err := o.do(ctx, http.MethodPut, key, content)
	return err
}

// Delete removes an object.
func (o objects) Delete(ctx context.Context, key object.Key) error {
	_, err := o.do(ctx, http.MethodDelete, key, nil)
	return err
}

func (o objects) do(ctx context.Context, method string, key object.Key, content []byte) ([]byte, error) {
	address := "http://" + o.platform + "/objects/" + url.PathEscape(string(key))
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	case response.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", object.ErrNotFound, key)
	case response.StatusCode/100 != 2:
		return nil, fmt.Errorf("%w: status %s", object.ErrUnavailable, response.Status)
	case len(body) > maxObjectBytes:
		return nil, fmt.Errorf("object %s exceeds %d bytes", key, maxObjectBytes)
	}
	return body, nil
}
