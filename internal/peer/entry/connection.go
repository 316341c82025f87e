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

// peer is what a Client knows of an address. The Client's lock guards it.
type peer struct {
	address string
	link    *link
	dial    *dial
	// used is the time of the last call.
	used time.Time
	// failures in a row of dials and connections, and the end of the backoff.
	failures int
	retry    time.Time
}

// dial is an attempt to connect that several calls may wait for. Its result is
// readable once done is closed.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// link is one open connection.
type link struct {
	rpc *jsonrpc2.Conn
}

// refuseCalls answers calls that arrive on a client's connection.
type refuseCalls struct{ counter Counter }

// Handle implements jsonrpc2.Handler.
func (r refuseCalls) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	count(r.counter, CountRefusedMethod)
	if !request.Notif {
		_ = rpc.ReplyWithError(ctx, request.ID, wireError(Errorf(CodeUnknownMethod, "this end serves no calls")))
	}
}

// call sends one request and waits until ctx ends or the connection is lost.
func (l *link) call(ctx context.Context, method string, req any) (json.RawMessage, error) {
	params, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// String ids keep responses under the null id, which jsonrpc2 reads as the
	// number 0, from being taken for the answer to the first call.
	waiter, err := l.rpc.DispatchCall(ctx, method, json.RawMessage(params), jsonrpc2.StringID())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var raw json.RawMessage
	if err := waiter.Wait(ctx, &raw); err != nil {
		return nil, fromWire(err)
	}
	return raw, nil
}

// dial connects to a peer and completes d.
func (c *Client) dial(p *peer, d *dial) {
	ctx, cancel := clockwork.WithTimeout(c.ctx, c.options.Clock, c.options.DialTimeout)
	defer cancel()
	connection, err := c.options.Dial(ctx, p.address)
	c.lock.Lock()
	defer c.lock.Unlock()
	defer close(d.done)
	p.dial = nil
	if err != nil {
		count(c.options.Counter, CountDialsFailed)
		c.failed(p)
		d.err = fmt.Errorf("%w: %w", ErrNotSent, err)
		return
	}
	count(c.options.Counter, CountConnectionsDialed)
	stream := newStream(connection, c.options.Counter, 0)
	c.group.Go(stream.write)
	logger := jsonrpc2.SetLogger(unmatchedLogger{c.options.Counter})
	opened := &link{rpc: jsonrpc2.NewConn(c.ctx, stream, refuseCalls{c.options.Counter}, logger)}
	p.link, d.link = opened, opened
	c.group.Go(func() { c.watch(p, opened) })
}

// failed starts or extends the backoff of a peer.
func (c *Client) failed(p *peer) {
	p.failures++
	p.retry = c.options.Clock.Now().Add(backoff(p.failures, c.options.BackoffBase, c.options.BackoffLimit))
}

// watch pings a connection until it is lost, silent or idle, and then retires it.
func (c *Client) watch(p *peer, l *link) {
	ticker := c.options.Clock.NewTicker(c.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.rpc.DisconnectNotify():
			count(c.options.Counter, CountConnectionsLost)
			c.retire(p, l, true)
			return
		case <-ticker.Chan():
		}
		if c.idle(p) {
			c.retire(p, l, false)
			return
		}
		if err := c.ping(l); err != nil {
			count(c.options.Counter, CountConnectionsSilent)
			c.retire(p, l, true)
			return
		}
		c.succeeded(p)
	}
}

// ping returns an error when the other end does not answer within PingTimeout.
func (c *Client) ping(l *link) error {
	ctx, cancel := clockwork.WithTimeout(c.ctx, c.options.Clock, c.options.PingTimeout)
	defer cancel()
	_, err := l.call(ctx, pingMethod, struct{}{})
	var answered *Error
	if errors.As(err, &answered) {
		return nil
	}
	return err
}

func (c *Client) idle(p *peer) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.options.Clock.Since(p.used) > c.options.IdleTimeout
}

func (c *Client) succeeded(p *peer) {
	c.lock.Lock()
	defer c.lock.Unlock()
	p.failures = 0
}

// retire closes a connection, which ends the calls on it with ErrNoAnswer.
func (c *Client) retire(p *peer, l *link, failed bool) {
	c.lock.Lock()
	if p.link == l {
		p.link = nil
		if failed {
			c.failed(p)
		}
	}
	c.lock.Unlock()
	_ = l.rpc.Close()
}
