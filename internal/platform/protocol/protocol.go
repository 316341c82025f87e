// Package protocol sends the HTTP requests of the platform's services and tells
// apart the ways in which they fail.
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
)

// DefaultTimeout bounds a call whose Endpoint sets no Timeout.
const DefaultTimeout = 2 * time.Second

// MaxMessage is the largest JSON body of a request or an answer, in bytes.
const MaxMessage = 16 << 20

// Reason is the cause that a service gives for a refusal.
type Reason string

// Reasons of refusals. A refused request had no effect.
const (
	Conflict    Reason = "Conflict"
	Unavailable Reason = "Unavailable"
	Invalid     Reason = "Invalid"
	NotFound    Reason = "NotFound"
)

// Refusal is the body of a service's refusal. An answer with an error status but
// without a Reason doesn't come from the service, for example from a gateway, and
// says nothing about the effect of the request.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused with reason %s: %s", r.Reason, r.Message)
}

// Failure reports that no usable answer arrived.
type Failure struct {
	// Sent tells that bytes of the request may have reached the service.
	Sent bool
	Err  error
}

// Error describes the failure.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("no answer: %v", f.Err)
	}
	return fmt.Sprintf("not sent: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// MayHaveEffect reports whether a request that failed with err may have had
// an effect.
func MayHaveEffect(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Sent
}

// Endpoint is where a service listens.
type Endpoint struct {
	// Address is host:port.
	Address string
	// HTTP sends the requests; nil stands for http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds a call in addition to its context; 0 stands for DefaultTimeout.
	Timeout time.Duration
}

// Request is a request to a service.
type Request struct {
	Method string
	// Path is not escaped.
	Path string
	Body []byte
	// MaxAnswer bounds the body of the answer in bytes; 0 stands for MaxMessage.
	MaxAnswer int64
}

// Call sends a request and returns the body of a successful answer. It fails with
// a *Refusal or a *Failure.
func (e Endpoint) Call(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	var sent sendState
	answer, err := e.send(httptrace.WithClientTrace(ctx, sent.trace()), request)
	if err != nil {
		e.dropIdle(ctx)
		return nil, &Failure{Sent: sent.maybe(), Err: err}
	}
	defer answer.Body.Close()
	body, err := readAll(answer.Body, request.maxAnswer())
	if err != nil {
		e.dropIdle(ctx)
		return nil, &Failure{Sent: true, Err: err}
	}
	if answer.StatusCode/100 != 2 {
		return nil, refusal(answer.StatusCode, body)
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

// dropIdle closes the idle connections after a timeout: the silence of one
// connection often affects all that were opened before it.
func (e Endpoint) dropIdle(ctx context.Context) {
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
	if r.MaxAnswer == 0 {
		return MaxMessage
	}
	return r.MaxAnswer
}

// Exchange sends message as JSON and decodes the answer. A nil message sends no
// body. It fails like Call; an answer that can't be decoded is a *Failure, and a
// message above MaxMessage is refused as Invalid before it is sent.
func Exchange[Answer any](ctx context.Context, e Endpoint, method, path string, message any) (Answer, error) {
	var answer Answer
	request := Request{Method: method, Path: path}
	if message != nil {
		body, err := json.Marshal(message)
		if err != nil {
			return answer, &Failure{Err: err}
		}
		if len(body) > MaxMessage {
			return answer, &Refusal{Reason: Invalid, Message: fmt.Sprintf("message of %d bytes, want at most %d", len(body), MaxMessage)}
		}
		request.Body = body
	}
	body, err := e.Call(ctx, request)
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &Failure{Sent: true, Err: fmt.Errorf("answer of %s: %w", path, err)}
	}
	return answer, nil
}

func readAll(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("the answer is longer than %d bytes", limit)
	}
	return content, nil
}

func refusal(status int, body []byte) error {
	var r Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Reason == "" {
		return &Failure{Sent: true, Err: fmt.Errorf("answer with status %d and without a reason", status)}
	}
	return &r
}

// sendState follows a request up to the moment when its bytes may leave. A
// transport that ignores traces counts as having sent it.
type sendState struct {
	dialled, connected atomic.Bool
}

func (s *sendState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { s.dialled.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	}
}

func (s *sendState) maybe() bool {
	return s.connected.Load() || !s.dialled.Load()
}
