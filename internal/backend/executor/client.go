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

// Limits and timeouts, including the defaults for the zero values of Client and Attempt.
const (
	// DefaultDialTimeout limits the opening of a connection. It allows for the round
	// trip between regions and a lost first packet, which is sent again after 1 s.
	DefaultDialTimeout = 1500 * time.Millisecond
	// DefaultFirstByteTimeout limits the time to the first byte of a response.
	DefaultFirstByteTimeout = 10 * time.Second
	// DefaultIdleTimeout limits the time between two bytes of a response.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultConnections is the maximum number of connections per executor. It equals
	// the number that an executor accepts from all entry instances together.
	DefaultConnections = 64
	// DefaultIdleConnections is the number of idle connections kept per executor. It
	// equals the number of an executor's slots.
	DefaultIdleConnections = 8
	// MaxHeaderBytes limits the size of a response header.
	MaxHeaderBytes = 64 << 10
	// idleConnectionTimeout is how long an idle connection is kept.
	idleConnectionTimeout = 30 * time.Second
	// maxDrainBytes and drainTimeout limit reading the body of a refusal. Reading it
	// allows the connection to be reused but must not delay reporting the refusal.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
)

// Attempt is a single attempt to send a request to an executor.
type Attempt struct {
	// Address is the host:port of the executor.
	Address string
	// Request provides the method, URL path and query, header and body to send. Its
	// body is read at most once.
	Request *http.Request
	// FirstByteTimeout limits the time from Do to the response header; 0 means
	// DefaultFirstByteTimeout.
	FirstByteTimeout time.Duration
	// IdleTimeout limits each read of the response body; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
}

// Response is a response whose header has been received.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is -1 for a chunked response.
	ContentLength int64
	// Body returns io.EOF only if the complete response was received; otherwise it
	// returns an *Error. It must be closed. Closing it before its end closes the
	// connection.
	Body io.ReadCloser

	response *http.Response
}

// Trailer returns the trailer of the response. It is available once Body has returned
// io.EOF.
func (r *Response) Trailer() http.Header {
	return r.response.Trailer
}

// Client sends attempts over HTTP. It never sends an attempt twice, and it never reuses
// a connection on which an attempt failed. The zero value is ready to use; the fields
// must not be changed after the first use. It is safe for concurrent use.
type Client struct {
	// Clock is used for the timeouts; nil means the system clock.
	Clock clockwork.Clock
	// DialTimeout limits the opening of a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// Connections and IdleConnections limit the connections per executor; 0 means
	// the defaults. When Connections are in use, an attempt waits for one of them.
	Connections     int
	IdleConnections int

	once            sync.Once
	transport       *http.Transport
	openConnections connectionSet
}

// Do sends an attempt and returns the response, or an *Error. If the error's class is
// NotRun, either no byte of the request was sent and none will be sent after Do
// returns, or the executor reported that it did not run the request. When ctx ends,
// reading the response's Body fails.
func (c *Client) Do(ctx context.Context, attempt Attempt) (*Response, error) {
	c.once.Do(c.init)
	if attempt.Request == nil || attempt.Request.URL == nil {
		return nil, &Error{Class: NotRun, Reason: ReasonInvalid, Err: errors.New("request or its URL is missing")}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	connections := &attemptConnections{set: &c.openConnections, newestAtStart: c.openConnections.newest()}
	request, body := newOutgoingRequest(httptrace.WithClientTrace(ctx, connections.trace()), attempt.Request, attempt.Address)
	timer := c.Clock.AfterFunc(orDefault(attempt.FirstByteTimeout, DefaultFirstByteTimeout), func() {
		cancel(&Error{Class: Unknown, Reason: ReasonFirstByteTimeout})
	})
	response, err := c.transport.RoundTrip(request)
	timer.Stop()
	if err != nil {
		failure := c.classify(ctx, connections, body, err)
		cancel(nil)
		return nil, failure
	}
	return c.handleResponse(ctx, cancel, connections, attempt, response)
}

func (c *Client) init() {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	c.transport = &http.Transport{
		DialContext:            dialer(orDefault(c.DialTimeout, DefaultDialTimeout), &c.openConnections),
		MaxConnsPerHost:        orDefault(c.Connections, DefaultConnections),
		MaxIdleConnsPerHost:    orDefault(c.IdleConnections, DefaultIdleConnections),
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		DisableCompression:     true,
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// classify converts the error of a round trip to an Error. It closes the attempt's
// connections, so that no byte is sent after it has returned NotRun.
func (c *Client) classify(ctx context.Context, connections *attemptConnections, body *requestBody, err error) *Error {
	failure := &Error{Class: NotRun, Reason: reasonOf(ctx, body, err), Err: err}
	if connections.closeAll() {
		failure.Class = Unknown
	}
	if failure.Reason == ReasonFirstByteTimeout {
		connections.closeOlderIdle()
	}
	return failure
}

func reasonOf(ctx context.Context, body *requestBody, err error) Reason {
	var timeout *Error
	switch {
	case errors.As(context.Cause(ctx), &timeout):
		return timeout.Reason
	case ctx.Err() != nil:
		return ReasonCanceled
	case errors.Is(err, errDial):
		return ReasonDial
	case body.readError() != nil:
		return ReasonRequestBody
	default:
		return ReasonConnectionLost
	}
}

// handleResponse returns a Response, or an Error if the executor reports that it did
// not run the request.
func (c *Client) handleResponse(
	ctx context.Context, cancel context.CancelCauseFunc, connections *attemptConnections, attempt Attempt, response *http.Response,
) (*Response, error) {
	body := &responseBody{
		ctx: ctx, cancel: cancel, clock: c.Clock, connections: connections, source: response.Body,
		idleTimeout:   orDefault(attempt.IdleTimeout, DefaultIdleTimeout),
		endDetectable: hasDetectableEnd(response),
	}
	if statesNotRun(response) {
		body.drain()
		return nil, &Error{Class: NotRun, Reason: ReasonRefused}
	}
	return &Response{
		StatusCode:    response.StatusCode,
		Header:        withoutHopHeaders(response.Header),
		ContentLength: response.ContentLength,
		Body:          body,
		response:      response,
	}, nil
}

// hasDetectableEnd reports whether the end of the response can be distinguished from a
// lost connection.
func hasDetectableEnd(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return response.Body == http.NoBody || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
