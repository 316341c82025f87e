package intake

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// kernelBufferBytes is the size of the kernel's buffers for each direction of a connection.
	// What waits in them counts as the machine's memory.
	kernelBufferBytes     = 16 << 10
	peerKernelBufferBytes = 128 << 10
	// writeStepBytes is the largest part of an answer that is written with one time limit.
	writeStepBytes = 32 << 10
	// deadlineStep is how long a deadline isn't set again, which costs some time.
	deadlineStep = time.Second
)

// Listen opens an address with small buffers in the kernel.
func Listen(address string) (net.Listener, error) { return listen(address, kernelBufferBytes) }

// ListenForPeers opens an address for other instances, whose messages may be large and come over links
// with a long delay.
func ListenForPeers(address string) (net.Listener, error) {
	return listen(address, peerKernelBufferBytes)
}

func listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that keeps its own size of buffers serves as well.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// listener accepts the connections of a port.
type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection. If the port has no place for it, another connection is
// closed, or else the new one.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.port.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// connection is an accepted connection of a port.
type connection struct {
	net.Conn
	port  *Port
	lease *Lease

	// activityLock guards current, what the connection is doing.
	activityLock sync.Mutex
	current      activity
	// header is the header that arrives. Only the goroutine that reads the connection uses it and
	// headerRefused.
	header headerScan
	// headerRefused is set once a header was refused, after which nothing more is read.
	headerRefused bool
	// newHeader is set when the next bytes that are read begin a header.
	newHeader atomic.Bool
	// headerEnded is set if the budget has ended the header that has arrived. Only the server's goroutine uses it.
	headerEnded bool
	// awaitsRequest is set while the server is about to wait for a request.
	awaitsRequest atomic.Bool
	closeOnce     sync.Once

	// deadlineLock guards writeDeadline, the deadline that the server has set for writes.
	deadlineLock  sync.Mutex
	writeDeadline time.Time
	// writeExtendedAt is when the deadline of writes was last set.
	writeExtendedAt time.Time
}

func newConnection(tcp *net.TCPConn, p *Port) *connection {
	c := &connection{Conn: tcp, port: p}
	c.lease = p.Budget.NewLease(c.interruptRead)
	c.enter(phaseIdle)
	return c
}

func (c *connection) enter(ph phase) {
	c.setActivity(activity{ph, c.port.Clock.Now()})
}

func (c *connection) setActivity(a activity) {
	c.activityLock.Lock()
	defer c.activityLock.Unlock()
	c.current = a
}

func (c *connection) activity() activity {
	c.activityLock.Lock()
	defer c.activityLock.Unlock()
	return c.current
}

// interruptRead makes a read fail that is under way.
func (c *connection) interruptRead() {
	c.port.count("Ended." + phaseNames[c.activity().phase])
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// awaitBody says that a body arrives from now on.
func (c *connection) awaitBody() {
	c.enter(phaseBody)
	c.lease.Reading(c.port.Clock.Now())
	c.limitBodyPause()
}

// limitBodyPause limits the time for the next part of a body, also of one that the handler doesn't read and the
// server discards.
func (c *connection) limitBodyPause() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(maxBodyPause))
}

// Read reads from the connection. The bytes of a header are taken from the budget.
func (c *connection) Read(p []byte) (int, error) {
	if c.headerRefused {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.activity().phase {
	case phaseIdle:
		c.enter(phaseHeader)
		c.lease.Reading(c.port.Clock.Now())
	case phaseHeader:
	default:
		return n, err
	}
	if c.newHeader.CompareAndSwap(true, false) {
		c.header = headerScan{}
	}
	// The server reads no more once a header has ended.
	c.header.resume()
	takeErr := c.lease.Take(c.port.Clock.Now(), c.header.add(p[:n]))
	tooLarge := c.header.bytes > c.port.limits().HeaderBytes+headerSlack
	if takeErr == nil && !tooLarge {
		return n, err
	}
	c.headerRefused = true
	c.port.refused("Header", takeErr)
	if tooLarge {
		c.refuseHeader(p)
	}
	// After this error the server closes the connection without an answer. To another one it
	// answers that the request is malformed.
	return 0, os.ErrDeadlineExceeded
}

const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nthe header is too large"

// refuseHeader answers a header that is too large before it has arrived completely, and reads what still
// comes for a moment, so that the answer isn't lost by a reset.
func (c *connection) refuseHeader(buffer []byte) {
	_, err := c.Write([]byte(headerTooLarge))
	if err != nil || c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	for err == nil {
		_, err = c.Conn.Read(buffer)
	}
}

// Write writes to the connection. It fails if the caller doesn't read for the port's WriteTimeout.
func (c *connection) Write(p []byte) (int, error) {
	before := c.activity()
	c.enter(phaseWriting)
	defer c.setActivity(before)
	written := 0
	for len(p) > 0 {
		if err := c.extendWriteDeadline(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[:min(len(p), writeStepBytes)])
		written += n
		p = p[n:]
		if err != nil {
			if isTimeout(err) {
				c.port.closed("Unread")
			}
			return written, err
		}
	}
	return written, nil
}

// extendWriteDeadline sets the deadline of the next write.
func (c *connection) extendWriteDeadline() error {
	c.deadlineLock.Lock()
	defer c.deadlineLock.Unlock()
	now := time.Now()
	if c.writeDeadline.IsZero() && now.Sub(c.writeExtendedAt) < deadlineStep {
		return nil
	}
	c.writeExtendedAt = now
	deadline := now.Add(c.port.limits().WriteTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// SetWriteDeadline sets a deadline for writes beside the one that the port sets.
func (c *connection) SetWriteDeadline(t time.Time) error {
	c.deadlineLock.Lock()
	defer c.deadlineLock.Unlock()
	c.writeDeadline, c.writeExtendedAt = t, time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline for reads. While a request is awaited or its header arrives,
// the limits of the port replace those that the server was started with.
func (c *connection) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) {
		ph := c.activity().phase
		limits := c.port.limits()
		switch {
		case c.awaitsRequest.CompareAndSwap(true, false):
			t = now.Add(limits.IdleTimeout)
		case ph == phaseIdle || ph == phaseHeader:
			t = now.Add(limits.HeaderTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending direction, so that the caller can read the rest of the answer.
func (c *connection) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Close closes the connection and gives its place and its bytes back.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { c.port.remove(c) })
	return c.Conn.Close()
}
