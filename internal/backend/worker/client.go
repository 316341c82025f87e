package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Conflict tells why a worker answered a sync with status 409.
type Conflict string

// ConflictHeader carries the Conflict of an answer with status 409.
const ConflictHeader = "Jacinthtrail-Conflict"

// Conflicts of a sync.
const (
	ConflictEpoch Conflict = "StaleEpoch"
	ConflictBasis Conflict = "StaleBasis"
)

// Limits of a sync over HTTP.
const (
	// MaxRequestBytes bounds the body of a sync request.
	MaxRequestBytes = 8 << 20
	// MaxResponseBytes bounds the body of a sync response.
	MaxResponseBytes = 16 << 20
	// DefaultSyncTimeout bounds a sync. It is a quarter of the lease term of 8 s, so
	// that a worker on a silent connection is tried again before its lease ends.
	DefaultSyncTimeout = 2 * time.Second
)

// ErrInvalid reports a request that the worker rejected as malformed or that
// exceeds MaxRequestBytes. Nothing was done.
var ErrInvalid = errors.New("worker: invalid sync request")

// Client sends syncs over HTTP. It keeps connections open between syncs; one on
// which a sync exceeded its bound is closed. The zero value works.
type Client struct {
	// Transport carries the requests; nil means one shared by all such clients.
	Transport http.RoundTripper
	// Timeout bounds each sync in addition to its context; 0 means DefaultSyncTimeout.
	Timeout time.Duration
}

var _ Syncer = (*Client)(nil)

// defaultTransport keeps one idle connection per worker, because an owner has one
// sync in flight to each. Idle connections are limited by time instead of by
// number: a shard can hold thousands of workers.
var defaultTransport = NewTransport()

// NewTransport returns a transport with the connection settings of a Client.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}
}

// Sync sends the request to the worker at address (host:port) and returns its
// answer. Errors are ErrStaleEpoch, ErrStaleBasis, ErrInvalid and ErrUnreachable.
func (c *Client) Sync(ctx context.Context, address string, request SyncRequest) (SyncResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(body) > MaxRequestBytes {
		return SyncResponse{}, fmt.Errorf("%w: %d bytes exceed %d", ErrInvalid, len(body), MaxRequestBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	response, err := c.post(ctx, "http://"+address+"/sync", body)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: sync with %s: %w", ErrUnreachable, address, err)
	}
	defer response.Body.Close()
	return decodeAnswer(address, response)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultSyncTimeout
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	transport := c.Transport
	if transport == nil {
		transport = defaultTransport
	}
	return transport.RoundTrip(request)
}

func decodeAnswer(address string, response *http.Response) (SyncResponse, error) {
	conflict, err := statusError(response)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("sync with %s: %w", address, err)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: answer of %s: %w", ErrUnreachable, address, err)
	}
	if len(content) > MaxResponseBytes {
		return SyncResponse{}, fmt.Errorf("%w: answer of %s exceeds %d bytes", ErrUnreachable, address, MaxResponseBytes)
	}
	var answer SyncResponse
	if err := json.Unmarshal(content, &answer); err != nil {
		return SyncResponse{}, fmt.Errorf("%w: answer of %s: %w", ErrUnreachable, address, err)
	}
	if conflict != nil {
		return answer, fmt.Errorf("sync with %s: %w", address, conflict)
	}
	return answer, nil
}

// statusError splits the status of an answer into a conflict, whose body is a
// SyncResponse, and an error, whose body is not.
func statusError(response *http.Response) (conflict, err error) {
	switch response.StatusCode {
	case http.StatusOK:
		return nil, nil
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return nil, fmt.Errorf("%w: status %s", ErrInvalid, response.Status)
	case http.StatusConflict:
	default:
		return nil, fmt.Errorf("%w: status %s", ErrUnreachable, response.Status)
	}
	switch Conflict(response.Header.Get(ConflictHeader)) {
	case ConflictEpoch:
		return ErrStaleEpoch, nil
	case ConflictBasis:
		return ErrStaleBasis, nil
	}
	return nil, fmt.Errorf("%w: status %s without %s", ErrUnreachable, response.Status, ConflictHeader)
}
