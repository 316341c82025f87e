package executor

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errDial marks failures to open a connection.
var errDial = errors.New("dial")

// connection counts the bytes that were sent. It carries one request at a time, so the
// count shows whether any byte of a request was sent; httptrace's hooks only show when
// headers were written to a buffer.
type connection struct {
	net.Conn
	// set contains the connection while it is open; it may be nil.
	set   *connectionSet
	usage usage

	mu   sync.Mutex
	sent int64
}

func dialer(timeout time.Duration, set *connectionSet) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		dialed := &connection{Conn: c, set: set}
		set.add(dialed, address)
		return dialed, nil
	}
}

// Close closes the connection and removes it from its set.
func (c *connection) Close() error {
	if c.set != nil {
		c.set.remove(c)
	}
	return c.Conn.Close()
}

// Write sends p and counts the bytes that were sent.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

func (c *connection) bytesSent() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// closeAndCount closes the connection and returns the total number of bytes sent on it.
// The number is final: closing interrupts a write in progress, and bytesSent waits for
// that write to return.
func (c *connection) closeAndCount() int64 {
	// The connection isn't used again, so an error of Close doesn't matter.
	_ = c.Close()
	return c.bytesSent()
}

// attemptConnections records the connections that the transport used for an attempt.
type attemptConnections struct {
	set *connectionSet
	// newestAtStart is the number of the newest connection in set when the attempt
	// started.
	newestAtStart uint64

	mu   sync.Mutex
	uses []connectionUse
}

// connectionUse is the use of a connection by an attempt.
type connectionUse struct {
	connection *connection
	// sentBefore is the number of bytes sent on the connection before the attempt.
	sentBefore int64
	// useNumber identifies this use among the uses of the connection.
	useNumber uint64
}

func (a *attemptConnections) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*connection); ok {
				a.addConnection(c)
			}
		},
		PutIdleConn: func(err error) {
			if err == nil {
				a.markLastIdle()
			}
		},
	}
}

func (a *attemptConnections) addConnection(c *connection) {
	useNumber := a.set.beginUse(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.uses = append(a.uses, connectionUse{connection: c, sentBefore: c.bytesSent(), useNumber: useNumber})
}

// markLastIdle records that the attempt no longer uses its last connection.
func (a *attemptConnections) markLastIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := len(a.uses) - 1; last >= 0 {
		a.set.endUse(a.uses[last].connection, a.uses[last].useNumber)
	}
}

// closeOlderIdle closes the idle connections to the attempt's executor that were dialed
// before the attempt started.
func (a *attemptConnections) closeOlderIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, use := range a.uses {
		a.set.closeIdle(use.connection.usage.address, a.newestAtStart)
	}
}

// closeAll closes the connections of the attempt and reports whether any byte of its
// request was sent. The result is final.
func (a *attemptConnections) closeAll() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, use := range a.uses {
		if use.connection.closeAndCount() > use.sentBefore {
			sent = true
		}
	}
	return sent
}
