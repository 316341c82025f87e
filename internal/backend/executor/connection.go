package executor

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errDial marks a connection that could not be opened.
var errDial = errors.New("dial")

// connection counts the bytes that left. A connection carries one request at a
// time, so the count tells whether any byte of a request left; httptrace's hooks
// only tell when headers were put in a buffer.
type connection struct {
	net.Conn
	// open is the set that has the connection; it may be nil.
	open  *openSet
	usage usage

	mu   sync.Mutex
	sent int64
}

func dialer(timeout time.Duration, open *openSet) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		dialed := &connection{Conn: c, open: open}
		open.add(dialed, address)
		return dialed, nil
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	if c.open != nil {
		c.open.remove(c)
	}
	return c.Conn.Close()
}

// Write sends p and counts what left.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

func (c *connection) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// retire closes the connection and returns the bytes that ever left on it. None
// leaves afterwards: the close ends a write in progress, which count waits for.
func (c *connection) retire() int64 {
	// The connection is given up; whether its close fails makes no difference.
	_ = c.Close()
	return c.count()
}

// use notes the connections that a request was given.
type use struct {
	open *openSet
	// mark is that of open at the start of the request.
	mark uint64

	mu   sync.Mutex
	held []held
}

type held struct {
	connection *connection
	// before is what had left before the request.
	before int64
	// number is that of the use of the connection.
	number uint64
}

func (u *use) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*connection); ok {
				u.got(c)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil {
				u.put()
			}
		},
	}
}

func (u *use) got(c *connection) {
	number := u.open.begin(c)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held = append(u.held, held{connection: c, before: c.count(), number: number})
}

// put notes that the last connection of the request is idle.
func (u *use) put() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if last := len(u.held) - 1; last >= 0 {
		u.open.end(u.held[last].connection, u.held[last].number)
	}
}

// retireIdle closes the idle connections that are as old as the silent one of the
// request and lead to the same executor.
func (u *use) retireIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.held {
		u.open.retireIdle(h.connection.usage.address, u.mark)
	}
}

// retire closes the connections of the request and reports whether any byte of it
// left. The answer is final.
func (u *use) retire() (left bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.held {
		if h.connection.retire() > h.before {
			left = true
		}
	}
	return left
}
