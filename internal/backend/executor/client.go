package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Bounds and limits that the zero settings of a Client and an Attempt stand for.
const (
	// DefaultDialTimeout bounds the opening of a connection. It is above the round
	// trip between regions and a lost first packet, which is sent again after 1 s.
	DefaultDialTimeout = 1500 * time.Millisecond
	// DefaultFirstByteTimeout bounds the time to the first byte of an answer.
	DefaultFirstByteTimeout = 10 * time.Second
	// DefaultIdleTimeout bounds the time between bytes of an answer.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultConnections is the number of connections per executor. It is the number
	// that one executor has for all entry instances.
	DefaultConnections = 64
	// DefaultIdleConnections is the number of unused connections kept per executor,
	// the number of its slots.
	DefaultIdleConnections = 8
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes = 64 << 10
	// keepIdle is how long an unused connection is kept.
	keepIdle = 30 * time.Second
	// drainBytes and drainTimeout bound the reading of a refusal's body, which lets its
	// connection be reused but must not hold up the refusal.
	drainBytes   = 4 << 10
	drainTimeout = 20 * time.Millisecond
)

// Attempt is one sending of a request to one executor.
type Attempt struct {
	// Address is the host:port of the executor.
	Address string
	// Request has the method, URL path and query, header and body to send. Its body
	// is read at most once.
	Request *http.Request
	// FirstByteTimeout bounds the time from Do to the header of the answer;
	// 0 means DefaultFirstByteTimeout.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds each read of the answer's body; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
}

// Response is an answer whose header has arrived.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is -1 for an answer in chunks.
	ContentLength int64
	// Body ends with io.EOF only if the whole answer arrived; otherwise it returns an
	// *Error. It must be closed, which retires the connection if it did not end.
	Body io.ReadCloser

	raw *http.Response
}

// Trailer returns the trailer of the answer once its Body has ended.
func (r *Response) Trailer() http.Header {
	return r.raw.Trailer
}

// Client sends attempts over HTTP. It never sends one twice, and it never reuses a
// connection on which an attempt failed. The zero value works; the fields must not
// change after the first use. It is safe for concurrent use.
type Client struct {
	// Clock measures the bounds; nil means the system clock.
	Clock clockwork.Clock
	// DialTimeout bounds the opening of a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// Connections and IdleConnections limit the connections per executor; 0 means
	// the defaults. An attempt beyond Connections waits for one.
	Connections     int
	IdleConnections int

	once      sync.Once
	transport *http.Transport
	open      openSet
}

// Do sends an attempt and returns its answer, or an *Error. If the error's class is
// NotRun, no byte left before Do returned and none leaves later, or the executor
// said that it did not run the request. The end of ctx ends the answer's Body.
func (c *Client) Do(ctx context.Context, attempt Attempt) (*Response, error) {
	c.once.Do(c.init)
	if attempt.Request == nil || attempt.Request.URL == nil {
		return nil, &Error{Class: NotRun, Reason: ReasonInvalid, Err: errors.New("no request or no URL")}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	used := &use{open: &c.open, mark: c.open.mark()}
	request, body := outgoing(httptrace.WithClientTrace(ctx, used.trace()), attempt.Request, attempt.Address)
	timer := c.Clock.AfterFunc(orDefault(attempt.FirstByteTimeout, DefaultFirstByteTimeout), func() {
		cancel(&Error{Class: Unknown, Reason: ReasonFirstByte})
	})
	raw, err := c.transport.RoundTrip(request)
	timer.Stop()
	if err != nil {
		failure := c.classify(ctx, used, body, err)
		cancel(nil)
		return nil, failure
	}
	return c.receive(ctx, cancel, used, attempt, raw)
}

func (c *Client) init() {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.transport = &http.Transport{
		DialContext:            dialer(orDefault(c.DialTimeout, DefaultDialTimeout), &c.open),
		MaxConnsPerHost:        orDefault(c.Connections, DefaultConnections),
		MaxIdleConnsPerHost:    orDefault(c.IdleConnections, DefaultIdleConnections),
		IdleConnTimeout:        keepIdle,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		DisableCompression:     true,
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// classify turns the failure of a round trip into an Error.
func (c *Client) classify(ctx context.Context, used *use, body *requestBody, err error) *Error {
	failure := &Error{Class: NotRun, Reason: reasonOf(ctx, body, err), Err: err}
	if used.retire() {
		failure.Class = Unknown
	}
	if failure.Reason == ReasonFirstByte {
		used.retireIdle()
	}
	return failure
}

func reasonOf(ctx context.Context, body *requestBody, err error) Reason {
	var bound *Error
	switch {
	case errors.As(context.Cause(ctx), &bound):
		return bound.Reason
	case ctx.Err() != nil:
		return ReasonCanceled
	case errors.Is(err, errDial):
		return ReasonDial
	case body.failure() != nil:
		return ReasonRequestBody
	default:
		return ReasonCut
	}
}

// receive turns a header that arrived into a Response, or into an Error if the
// executor states that it did not run the request.
func (c *Client) receive(
	ctx context.Context, cancel context.CancelCauseFunc, used *use, attempt Attempt, raw *http.Response,
) (*Response, error) {
	body := &responseBody{
		ctx: ctx, cancel: cancel, clock: c.Clock, used: used, raw: raw.Body,
		idleTimeout: orDefault(attempt.IdleTimeout, DefaultIdleTimeout),
		delimited:   isDelimited(raw),
	}
	if saysNotRun(raw) {
		body.drain()
		return nil, &Error{Class: NotRun, Reason: ReasonRefused}
	}
	return &Response{
		StatusCode:    raw.StatusCode,
		Header:        withoutHopHeaders(raw.Header),
		ContentLength: raw.ContentLength,
		Body:          body,
		raw:           raw,
	}, nil
}

// isDelimited reports whether the end of the answer can be told from a cut.
func isDelimited(raw *http.Response) bool {
	if raw.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return raw.Body == http.NoBody || raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
