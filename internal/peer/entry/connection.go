package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
)

// peer is the state of one address. It is guarded by the Client's lock.
type peer struct {
	address  string
	conn     *clientConn
	dial     *dialAttempt
	lastCall time.Time
	// failures counts consecutive failures of dials and connections; retryAt is the
	// end of the backoff that they cause.
	failures int
	retryAt  time.Time
}

// dialAttempt is a dial in progress that several calls may wait for. Its result may be
// read once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// clientConn is an open connection to a server.
type clientConn struct {
	rpc *jsonrpc2.Conn
}

// rejectingHandler rejects calls that the server sends on a client's connection.
type rejectingHandler struct{ counter Counter }

// Handle implements jsonrpc2.Handler.
func (r rejectingHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	count(r.counter, CountRefusedMethod)
	if !request.Notif {
		_ = rpc.ReplyWithError(ctx, request.ID, toWireError(Errorf(CodeUnknownMethod, "this end serves no calls")))
	}
}

// call sends a request and waits for the response until ctx ends or the connection is
// lost.
func (c *clientConn) call(ctx context.Context, method string, req any) (json.RawMessage, error) {
	params, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// jsonrpc2 reads a null id as the number 0, so with numeric ids a response with a
	// null id would be matched to the first call. String ids avoid this.
	pending, err := c.rpc.DispatchCall(ctx, method, json.RawMessage(params), jsonrpc2.StringID())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var result json.RawMessage
	if err := pending.Wait(ctx, &result); err != nil {
		return nil, fromWireError(err)
	}
	return result, nil
}

// dial connects to a peer and completes the attempt.
func (c *Client) dial(p *peer, attempt *dialAttempt) {
	ctx, cancel := clockwork.WithTimeout(c.ctx, c.options.Clock, c.options.DialTimeout)
	defer cancel()
	netConn, err := c.options.Dial(ctx, p.address)
	c.lock.Lock()
	defer c.lock.Unlock()
	defer close(attempt.done)
	p.dial = nil
	if err != nil {
		count(c.options.Counter, CountDialsFailed)
		c.recordFailure(p)
		attempt.err = fmt.Errorf("%w: %w", ErrNotSent, err)
		return
	}
	count(c.options.Counter, CountConnectionsDialed)
	stream := newStream(netConn, c.options.Counter, 0)
	c.group.Go(stream.writeLoop)
	logger := jsonrpc2.SetLogger(countingLogger{c.options.Counter})
	conn := &clientConn{rpc: jsonrpc2.NewConn(c.ctx, stream, rejectingHandler{c.options.Counter}, logger)}
	p.conn, attempt.conn = conn, conn
	c.group.Go(func() { c.monitor(p, conn) })
}

// recordFailure starts or extends the backoff of a peer. The caller holds the lock.
func (c *Client) recordFailure(p *peer) {
	p.failures++
	p.retryAt = c.options.Clock.Now().Add(backoff(p.failures, c.options.BackoffBase, c.options.BackoffLimit))
}

// monitor pings a connection until it is lost, leaves a ping unanswered or is idle,
// and then closes it.
func (c *Client) monitor(p *peer, conn *clientConn) {
	ticker := c.options.Clock.NewTicker(c.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.rpc.DisconnectNotify():
			count(c.options.Counter, CountConnectionsLost)
			c.closeConnection(p, conn, true)
			return
		case <-ticker.Chan():
		}
		if c.isIdle(p) {
			c.closeConnection(p, conn, false)
			return
		}
		if err := c.ping(conn); err != nil {
			count(c.options.Counter, CountConnectionsSilent)
			c.closeConnection(p, conn, true)
			return
		}
		c.resetFailures(p)
	}
}

// ping returns an error if the server does not answer within PingTimeout.
func (c *Client) ping(conn *clientConn) error {
	ctx, cancel := clockwork.WithTimeout(c.ctx, c.options.Clock, c.options.PingTimeout)
	defer cancel()
	_, err := conn.call(ctx, pingMethod, struct{}{})
	var serverErr *Error
	if errors.As(err, &serverErr) {
		return nil
	}
	return err
}

func (c *Client) isIdle(p *peer) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.options.Clock.Since(p.lastCall) > c.options.IdleTimeout
}

func (c *Client) resetFailures(p *peer) {
	c.lock.Lock()
	defer c.lock.Unlock()
	p.failures = 0
}

// closeConnection closes a connection. Calls in progress on it return ErrNoResponse.
func (c *Client) closeConnection(p *peer, conn *clientConn, failed bool) {
	c.lock.Lock()
	if p.conn == conn {
		p.conn = nil
		if failed {
			c.recordFailure(p)
		}
	}
	c.lock.Unlock()
	_ = conn.rpc.Close()
}
