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

// Conflict is the reason for which a worker rejected a sync with status 409.
type Conflict string

// ConflictHeader carries the Conflict of a response with status 409.
const ConflictHeader = "Jacinthtrail-Conflict"

// Reasons for a conflict, which correspond to ErrStaleEpoch and ErrStaleBasis.
const (
	ConflictEpoch Conflict = "StaleEpoch"
	ConflictBasis Conflict = "StaleBasis"
)

// Limits of a sync over HTTP.
const (
	// MaxRequestBytes limits the body of a sync request.
	MaxRequestBytes = 8 << 20
	// MaxResponseBytes limits the body of a sync response.
	MaxResponseBytes = 16 << 20
	// DefaultSyncTimeout limits a sync. It is a quarter of the lease term of 8 s, so
	// that a sync on an unresponsive connection is retried before the lease expires.
	DefaultSyncTimeout = 2 * time.Second
)

// ErrInvalid reports that the worker rejected the request as malformed, or that the
// request exceeds MaxRequestBytes. The request had no effect.
var ErrInvalid = errors.New("worker: invalid sync request")

// Client sends sync requests over HTTP. It keeps connections open between syncs, but
// closes a connection on which a sync timed out. The zero value is ready to use.
type Client struct {
	// Transport sends the requests; nil means a transport shared by all clients.
	Transport http.RoundTripper
	// Timeout limits each sync in addition to its context; 0 means DefaultSyncTimeout.
	Timeout time.Duration
}

var _ Syncer = (*Client)(nil)

// defaultTransport keeps one idle connection per worker, because a shard's owner sends
// at most one sync to a worker at a time. The total number of idle connections isn't
// limited, only their idle time, because a shard can have thousands of workers.
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

// Sync sends a request to the worker at address (host:port) and returns the response.
// It fails with ErrStaleEpoch, ErrStaleBasis, ErrInvalid or ErrUnreachable.
func (c *Client) Sync(ctx context.Context, address string, request SyncRequest) (SyncResponse, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(body) > MaxRequestBytes {
		return SyncResponse{}, fmt.Errorf("%w: request of %d bytes exceeds the limit of %d", ErrInvalid, len(body), MaxRequestBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	response, err := c.post(ctx, "http://"+address+"/sync", body)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: sync with %s: %w", ErrUnreachable, address, err)
	}
	defer response.Body.Close()
	return decodeResponse(address, response)
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

func decodeResponse(address string, response *http.Response) (SyncResponse, error) {
	conflict, err := statusError(response)
	if err != nil {
		return SyncResponse{}, fmt.Errorf("sync with %s: %w", address, err)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return SyncResponse{}, fmt.Errorf("%w: read response of %s: %w", ErrUnreachable, address, err)
	}
	if len(content) > MaxResponseBytes {
		return SyncResponse{}, fmt.Errorf("%w: response of %s exceeds %d bytes", ErrUnreachable, address, MaxResponseBytes)
	}
	var answer SyncResponse
	if err := json.Unmarshal(content, &answer); err != nil {
		return SyncResponse{}, fmt.Errorf("%w: decode response of %s: %w", ErrUnreachable, address, err)
	}
	if conflict != nil {
		return answer, fmt.Errorf("sync with %s: %w", address, conflict)
	}
	return answer, nil
}

// statusError returns the conflict or the error that the status of a response stands
// for. The body of a conflict is a SyncResponse; that of an error is not.
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
