package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// ClientOptions configures a Client. Zero values select the defaults given below.
type ClientOptions struct {
	// CallTimeout limits a call unless its context ends earlier; 2 s by default.
	CallTimeout time.Duration
	// DialTimeout limits a single dial; 1 s by default.
	DialTimeout time.Duration
	// PingInterval is the time between pings; 1 s by default.
	PingInterval time.Duration
	// PingTimeout is how long a ping may remain unanswered before its connection is
	// closed; 2 s by default.
	PingTimeout time.Duration
	// IdleTimeout is how long a connection without calls stays open; 60 s by default.
	IdleTimeout time.Duration
	// BackoffBase and BackoffLimit are the initial and the maximum delay before an
	// address that failed is dialed again; 100 ms and 5 s by default.
	BackoffBase, BackoffLimit time.Duration
	// Dial opens a connection; over TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the system clock by default.
	Clock clockwork.Clock
	// Counter may be nil.
	Counter Counter
}

func (o *ClientOptions) setDefaults() {
	o.CallTimeout = orDefault(o.CallTimeout, 2*time.Second)
	o.DialTimeout = orDefault(o.DialTimeout, time.Second)
	o.PingInterval = orDefault(o.PingInterval, time.Second)
	o.PingTimeout = orDefault(o.PingTimeout, 2*time.Second)
	o.IdleTimeout = orDefault(o.IdleTimeout, time.Minute)
	o.BackoffBase = orDefault(o.BackoffBase, 100*time.Millisecond)
	o.BackoffLimit = orDefault(o.BackoffLimit, 5*time.Second)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Dial == nil {
		var dialer net.Dialer
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
}

// Client calls other entry instances, using one connection per address.
type Client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	lock   sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewClient returns a Client that has no connections yet. Close releases it.
func NewClient(options ClientOptions) *Client {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{options: options, ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

// Close closes all connections and waits for their goroutines to finish. Calls in
// progress return ErrNoResponse.
func (c *Client) Close() error {
	c.lock.Lock()
	c.closed = true
	c.lock.Unlock()
	c.cancel()
	c.group.Wait()
	return nil
}

// Call invokes a method of the entry instance at address and waits for the response
// for at most CallTimeout. It returns an *Error from the server, ErrNotSent, or
// ErrNoResponse if the outcome is unknown. Call never retries.
func Call[Req, Resp any](ctx context.Context, c *Client, address, method string, req Req) (Resp, error) {
	var resp Resp
	count(c.options.Counter, CountCalls)
	callCtx, cancel := clockwork.WithTimeout(ctx, c.options.Clock, c.options.CallTimeout)
	defer cancel()
	raw, err := c.call(callCtx, address, method, req)
	switch {
	case errors.Is(err, ErrNotSent):
		count(c.options.Counter, CountCallsNotSent)
	case err != nil:
		count(c.options.Counter, CountCallsFailed)
	default:
		err = decodeStrict(raw, &resp)
		if err != nil {
			count(c.options.Counter, CountCallsFailed)
			err = fmt.Errorf("%w: decode response: %w", ErrNoResponse, err)
		}
	}
	if err != nil {
		return resp, fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return resp, nil
}

func (c *Client) call(ctx context.Context, address, method string, req any) (json.RawMessage, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.call(ctx, method, req)
}

// connect returns the connection to an address, dialing it if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	conn, attempt, err := c.findOrDial(address)
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: dial: %w", ErrNotSent, ctx.Err())
	}
}

// findOrDial returns the open connection to an address. If there is none it returns
// the dial in progress, and starts one unless the address is in backoff.
func (c *Client) findOrDial(address string) (*clientConn, *dialAttempt, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return nil, nil, fmt.Errorf("%w: client is closed", ErrNotSent)
	}
	now := c.options.Clock.Now()
	p := c.peers[address]
	if p == nil {
		c.removeUnusedPeers(now)
		p = &peer{address: address}
		c.peers[address] = p
	}
	p.lastCall = now
	if p.conn != nil {
		return p.conn, nil, nil
	}
	if p.dial != nil {
		return nil, p.dial, nil
	}
	if now.Before(p.retryAt) {
		return nil, nil, fmt.Errorf("%w: %s failed recently; next dial in %v", ErrNotSent, address, p.retryAt.Sub(now))
	}
	attempt := &dialAttempt{done: make(chan struct{})}
	p.dial = attempt
	c.group.Go(func() { c.dial(p, attempt) })
	return nil, attempt, nil
}

// removeUnusedPeers removes addresses that have no connection and were not called for
// IdleTimeout. Replaced instances get new addresses, so old ones would accumulate.
func (c *Client) removeUnusedPeers(now time.Time) {
	for address, p := range c.peers {
		if p.conn == nil && p.dial == nil && now.Sub(p.lastCall) > c.options.IdleTimeout {
			delete(c.peers, address)
		}
	}
}
