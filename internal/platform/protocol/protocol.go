// Package protocol sends HTTP requests to the platform's services and classifies
// failures by whether the request may have taken effect.
package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/progress"
)

// DefaultTimeout limits a call whose Endpoint has no Timeout.
const DefaultTimeout = 2 * time.Second

// MaxMessageBytes is the maximum size of the JSON body of a request or a response, in bytes.
const MaxMessageBytes = 16 << 20

// Reason is a service's reason for refusing a request.
type Reason string

// Reasons for refusing a request. A refused request had no effect.
const (
	Conflict    Reason = "Conflict"
	Unavailable Reason = "Unavailable"
	Invalid     Reason = "Invalid"
	NotFound    Reason = "NotFound"
)

// Refusal is the body of a response by which a service refuses a request. A response
// with an error status but without a Reason was not sent by the service but, for
// example, by a gateway. It doesn't show whether the request took effect.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error returns the reason and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with reason %s: %s", r.Reason, r.Message)
}

// Failure reports that no usable response was received.
type Failure struct {
	// Sent reports that bytes of the request may have reached the service.
	Sent bool
	Err  error
}

// Error returns the underlying error and whether the request may have been sent.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("no usable response: %v", f.Err)
	}
	return fmt.Sprintf("not sent: %v", f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error {
	return f.Err
}

// MayHaveEffect reports whether a request that failed with err may have taken effect.
func MayHaveEffect(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Sent
}

// Endpoint is the address of a service, with the settings for calling it.
type Endpoint struct {
	// Address is the host:port of the service.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout is how long a call may make no progress, in addition to its context; 0 means
	// DefaultTimeout.
	Timeout time.Duration
}

// Request is a request to a service.
type Request struct {
	Method string
	// Path is the unescaped URL path.
	Path string
	Body []byte
	// MaxResponseBytes limits the body of the response in bytes; 0 means MaxMessageBytes.
	MaxResponseBytes int64
}

// Call sends a request and returns the body of a successful response. It fails with a
// *Refusal or a *Failure.
func (e Endpoint) Call(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := progress.WithTimeout(ctx, e.timeout())
	defer cancel()
	var tracker sendTracker
	answer, err := e.send(httptrace.WithClientTrace(ctx, tracker.trace()), request)
	if err != nil {
		e.closeIdleAfterTimeout(ctx)
		return nil, &Failure{Sent: tracker.mayHaveSent(), Err: err}
	}
	defer answer.Body.Close()
	progress.Made(ctx)
	body, err := readLimited(progress.Reader(ctx, answer.Body), request.maxAnswer())
	if err != nil {
		e.closeIdleAfterTimeout(ctx)
		return nil, &Failure{Sent: true, Err: err}
	}
	if answer.StatusCode/100 != 2 {
		return nil, parseRefusal(answer.StatusCode, body)
	}
	return body, nil
}

func (e Endpoint) send(ctx context.Context, request Request) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: e.Address, Path: request.Path}
	r, err := http.NewRequestWithContext(ctx, request.Method, target.String(), bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	return e.client().Do(r)
}

// closeIdleAfterTimeout closes the idle connections if the deadline of ctx was exceeded.
// When one connection stops responding, those opened before it are often affected too.
func (e Endpoint) closeIdleAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.client().CloseIdleConnections()
	}
}

func (e Endpoint) client() *http.Client {
	if e.HTTP == nil {
		return http.DefaultClient
	}
	return e.HTTP
}

func (e Endpoint) timeout() time.Duration {
	if e.Timeout == 0 {
		return DefaultTimeout
	}
	return e.Timeout
}

func (r Request) maxAnswer() int64 {
	if r.MaxResponseBytes == 0 {
		return MaxMessageBytes
	}
	return r.MaxResponseBytes
}

// Exchange sends message as JSON and decodes the response. A nil message sends no body.
// Exchange fails like Call. A response that can't be decoded is a *Failure, and a
// message larger than MaxMessageBytes is not sent but returned as an Invalid *Refusal.
func Exchange[Answer any](ctx context.Context, e Endpoint, method, path string, message any) (Answer, error) {
	var answer Answer
	request := Request{Method: method, Path: path}
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			return answer, &Failure{Err: err}
		}
		if len(body) > MaxMessageBytes {
			return answer, &Refusal{Reason: Invalid, Message: fmt.Sprintf("message of %d bytes, want at most %d", len(body), MaxMessageBytes)}
		}
		request.Body = body
	}
	body, err := e.Call(ctx, request)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &Failure{Sent: true, Err: fmt.Errorf("decode response of %s: %w", path, err)}
	}
	return answer, nil
}

func readLimited(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("response is longer than %d bytes", limit)
	}
	return content, nil
}

func parseRefusal(status int, body []byte) error {
	var r Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Reason == "" {
		return &Failure{Sent: true, Err: fmt.Errorf("response with status %d and without a reason", status)}
	}
	return &r
}

// sendTracker records whether bytes of a request may have been sent, which is possible
// once the request has a connection. If the transport doesn't support traces, the
// request counts as sent.
type sendTracker struct {
	requested, connected atomic.Bool
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { s.requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	}
}

func (s *sendTracker) mayHaveSent() bool {
	return s.connected.Load() || !s.requested.Load()
}
