package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/protocol"
)

// PathPrefix is the URL path of an object, without its key.
const PathPrefix = "/objects/"

// Limits of the object store for keys and content, in bytes.
const (
	MaxKeyBytes     = 1024
	MaxContentBytes = 64 << 20
)

// Client is a Store that calls the object store over HTTP. Each call ends when its
// context ends or it has made no progress for Timeout, whichever is earlier.
type Client struct {
	// Address is the host:port of the platform.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout is how long a call may make no progress; 0 means protocol.DefaultTimeout. Sending
	// a large object to another region takes longer than that.
	Timeout time.Duration
}

// Get returns the content of an object. It fails with ErrNotFound, ErrUnavailable or
// ErrInvalid.
func (c Client) Get(ctx context.Context, key Key) ([]byte, error) {
	return c.call(ctx, http.MethodGet, key, nil)
}

// Put writes an object. It fails with ErrInvalid or ErrUnavailable. After
// ErrUnavailable the object may have its old or its new content, and Put may be
// repeated.
func (c Client) Put(ctx context.Context, key Key, content []byte) error {
	if len(content) > MaxContentBytes {
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrInvalid, len(content), MaxContentBytes)
	}
	_, err := c.call(ctx, http.MethodPut, key, content)
	return err
}

// Delete removes an object. It fails with ErrInvalid or ErrUnavailable. After
// ErrUnavailable, Delete may be repeated.
func (c Client) Delete(ctx context.Context, key Key) error {
	_, err := c.call(ctx, http.MethodDelete, key, nil)
	return err
}

// Validate returns ErrInvalid unless the object store accepts the key.
func (k Key) Validate() error {
	if k == "" || len(k) > MaxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, want 1 to %d", ErrInvalid, len(k), MaxKeyBytes)
	}
	return nil
}

func (c Client) call(ctx context.Context, method string, key Key, content []byte) ([]byte, error) {
	if err := key.Validate(); err != nil {
		return nil, err
	}
	endpoint := protocol.Endpoint{Address: c.Address, HTTP: c.HTTP, Timeout: c.Timeout}
	body, err := endpoint.Call(ctx, protocol.Request{
		Method:           method,
		Path:             PathPrefix + string(key),
		Body:             content,
		MaxResponseBytes: MaxContentBytes,
	})
	if err != nil {
		return nil, classify(err)
	}
	return body, nil
}

func classify(err error) error {
	var refusal *protocol.Refusal
	sentinel := ErrUnavailable
	switch {
	case errors.As(err, &refusal) && refusal.Reason == protocol.NotFound:
		sentinel = ErrNotFound
	case errors.As(err, &refusal) && refusal.Reason == protocol.Invalid:
		sentinel = ErrInvalid
	}
	return fmt.Errorf("%w: %w", sentinel, err)
}
