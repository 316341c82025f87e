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

// ClientOptions are the limits and dependencies of a Client. Zero values stand for
// the defaults that are named here.
type ClientOptions struct {
	// CallTimeout bounds a call whose context has no earlier end; 2 s by default.
	CallTimeout time.Duration
	// DialTimeout bounds one dial; 1 s by default.
	DialTimeout time.Duration
	// PingInterval is the time between pings; 1 s by default.
	PingInterval time.Duration
	// PingTimeout is how long a ping may stay unanswered before its connection is
	// retired; 2 s by default.
	PingTimeout time.Duration
	// IdleTimeout closes a connection without calls; 60 s by default.
	IdleTimeout time.Duration
	// BackoffBase and BackoffLimit bound the wait before the next dial of an address
	// that failed; 100 ms and 5 s by default.
	BackoffBase, BackoffLimit time.Duration
	// Dial opens a connection; TCP by default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the real clock by default.
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

// Client calls other entry instances over one connection for each address.
type Client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	lock   sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewClient returns a Client without connections. Close ends it.
func NewClient(options ClientOptions) *Client {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{options: options, ctx: ctx, cancel: cancel, peers: map[string]*peer{}}
}

// Close ends all connections and waits for their goroutines. Calls in progress
// return ErrNoAnswer.
func (c *Client) Close() error {
	c.lock.Lock()
	c.closed = true
	c.lock.Unlock()
	c.cancel()
	c.group.Wait()
	return nil
}

// Call sends req to the method of the entry instance at address and waits for the
// answer, at most CallTimeout. Errors are an *Error from the server, ErrNotSent, or
// ErrNoAnswer when the outcome is unknown. Call never retries.
func Call[Req, Resp any](ctx context.Context, c *Client, address, method string, req Req) (Resp, error) {
	var resp Resp
	count(c.options.Counter, CountCalls)
	bounded, cancel := clockwork.WithTimeout(ctx, c.options.Clock, c.options.CallTimeout)
	defer cancel()
	raw, err := c.call(bounded, address, method, req)
	switch {
	case errors.Is(err, ErrNotSent):
		count(c.options.Counter, CountCallsNotSent)
	case err != nil:
		count(c.options.Counter, CountCallsFailed)
	default:
		err = decodeStrict(raw, &resp)
		if err != nil {
			count(c.options.Counter, CountCallsFailed)
			err = fmt.Errorf("%w that can be decoded: %w", ErrNoAnswer, err)
		}
	}
	if err != nil {
		return resp, fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	return resp, nil
}

func (c *Client) call(ctx context.Context, address, method string, req any) (json.RawMessage, error) {
	link, err := c.link(ctx, address)
	if err != nil {
		return nil, err
	}
	return link.call(ctx, method, req)
}

// link returns the connection to an address and dials it when there is none.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	current, dialing, err := c.find(address)
	if current != nil || err != nil {
		return current, err
	}
	select {
	case <-dialing.done:
		return dialing.link, dialing.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: dialing: %w", ErrNotSent, ctx.Err())
	}
}

// find returns the open connection to an address, else the dial in progress, which
// it starts unless the address is in backoff.
func (c *Client) find(address string) (*link, *dial, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return nil, nil, fmt.Errorf("%w: the client is closed", ErrNotSent)
	}
	now := c.options.Clock.Now()
	p := c.peers[address]
	if p == nil {
		c.sweep(now)
		p = &peer{address: address}
		c.peers[address] = p
	}
	p.used = now
	if p.link != nil {
		return p.link, nil, nil
	}
	if p.dial != nil {
		return nil, p.dial, nil
	}
	if now.Before(p.retry) {
		return nil, nil, fmt.Errorf("%w: %s failed and is not dialed for another %v", ErrNotSent, address, p.retry.Sub(now))
	}
	d := &dial{done: make(chan struct{})}
	p.dial = d
	c.group.Go(func() { c.dial(p, d) })
	return nil, d, nil
}

// sweep forgets addresses without a connection that were not called for IdleTimeout,
// because replaced instances have new addresses.
func (c *Client) sweep(now time.Time) {
	for address, p := range c.peers {
		if p.link == nil && p.dial == nil && now.Sub(p.used) > c.options.IdleTimeout {
			delete(c.peers, address)
		}
	}
}
