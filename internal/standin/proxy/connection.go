package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxChunkBytes bounds the bytes of one read.
	maxChunkBytes = 32 << 10
	// burstsPerSecond divides a rate into bursts, so that at a low rate the bytes are sent
	// evenly.
	burstsPerSecond = 20
	// maxQueuedChunks bounds the chunks that wait for a delay, per direction of a
	// connection.
	maxQueuedChunks = 64
)

// chunk is the result of one read.
type chunk struct {
	content []byte
	readAt  time.Time
	// senderFailed is set if reading from the sender failed after the content.
	senderFailed bool
}

// connection is a proxied connection.
type connection struct {
	proxy             *Proxy
	client            *net.TCPConn
	ctx               context.Context
	cancel            context.CancelFunc
	permanentlySilent atomic.Bool
	// clientQuota is the number of bytes that may still be sent to the client.
	clientQuota atomic.Int64
}

// direction is one direction of a connection.
type direction struct {
	connection     *connection
	from, to       *net.TCPConn
	limiter        *rate.Limiter
	forwardedBytes *atomic.Int64
	selectFlow     func(Faults) Flow
	quota          *atomic.Int64 // nil for no quota
}

func newConnection(p *Proxy, client *net.TCPConn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{proxy: p, client: client, ctx: ctx, cancel: cancel}
}

// reset resets the connection to the client and discards bytes not yet delivered.
func (c *connection) reset() {
	_ = c.client.SetLinger(0)
	_ = c.client.Close()
	c.cancel()
}

// forward forwards in both directions until both have ended or the connection is reset.
func (c *connection) forward(server *net.TCPConn) {
	p := c.proxy
	toServer := direction{
		connection: c, from: c.client, to: server, limiter: p.toServerLimiter, forwardedBytes: &p.bytesToServer,
		selectFlow: func(f Faults) Flow { return f.ToServer },
	}
	toClient := direction{
		connection: c, from: server, to: c.client, limiter: p.toClientLimiter, forwardedBytes: &p.bytesToClient,
		selectFlow: func(f Faults) Flow { return f.ToClient }, quota: &c.clientQuota,
	}
	var group sync.WaitGroup
	stop := context.AfterFunc(c.ctx, func() {
		_ = server.Close()
		_ = c.client.Close()
	})
	defer stop()
	toServer.start(&group)
	toClient.start(&group)
	group.Wait()
	c.cancel()
	_ = server.Close()
	_ = c.client.Close()
}

func (d direction) start(group *sync.WaitGroup) {
	queue := make(chan chunk, maxQueuedChunks)
	group.Go(func() { d.readLoop(queue) })
	group.Go(func() { d.writeLoop(queue) })
}

// readLoop queues the bytes it reads until the sender closes its side, reading fails or
// the connection ends.
func (d direction) readLoop(queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := d.from.Read(buffer)
		c := chunk{content: bytes.Clone(buffer[:n]), readAt: time.Now()}
		c.senderFailed = err != nil && !errors.Is(err, io.EOF)
		select {
		case queue <- c:
		case <-d.connection.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// writeLoop forwards the queued chunks and then the end of the stream.
func (d direction) writeLoop(queue <-chan chunk) {
	for c := range queue {
		if !d.forwardChunk(c) {
			d.close(c.senderFailed)
			return
		}
	}
	if d.waitUntilDue(time.Now()) {
		_ = d.to.CloseWrite()
	}
}

// close closes the connections to both sides. After a failure of the sender, the receiver
// gets a reset: the end of the stream would make a truncated response look complete.
func (d direction) close(senderFailed bool) {
	if senderFailed {
		_ = d.to.SetLinger(0)
	}
	d.connection.cancel()
}

// forwardChunk forwards a chunk and reports whether the connection remains usable.
func (d direction) forwardChunk(c chunk) bool {
	for content := c.content; len(content) > 0; {
		if !d.waitUntilDue(c.readAt) {
			return false
		}
		faults, _ := d.connection.proxy.currentFaults()
		n := min(len(content), burstBytes(d.selectFlow(faults).Rate))
		if d.limiter.WaitN(d.connection.ctx, n) != nil {
			// The rate was lowered after it was read, or the connection has ended.
			continue
		}
		if !d.writeWithinQuota(content[:n]) {
			return false
		}
		content = content[n:]
	}
	return !c.senderFailed
}

// writeWithinQuota writes as many bytes as the quota allows and reports whether the
// connection remains usable.
func (d direction) writeWithinQuota(content []byte) bool {
	content = content[:takeQuota(d.quota, len(content))]
	// The bytes are counted before they are written: the receiver may act on them before
	// Write returns, for example by setting a new quota.
	d.forwardedBytes.Add(int64(len(content)))
	n, err := d.to.Write(content)
	d.forwardedBytes.Add(int64(n - len(content)))
	if d.quota != nil && d.quota.Load() <= 0 {
		return false
	}
	return err == nil
}

// takeQuota takes up to n bytes from a quota and returns how many it took; a nil quota is
// unlimited.
func takeQuota(quota *atomic.Int64, n int) int {
	if quota == nil {
		return n
	}
	for {
		left := quota.Load()
		taken := min(int64(n), max(left, 0))
		if quota.CompareAndSwap(left, left-taken) {
			return int(taken)
		}
	}
}

// waitUntilDue waits until the delay of bytes read at readAt has passed and the direction
// isn't silent. It reports whether the connection remains usable.
func (d direction) waitUntilDue(readAt time.Time) bool {
	for {
		faults, changed := d.connection.proxy.currentFaults()
		flow := d.selectFlow(faults)
		silent := flow.Silence || d.connection.permanentlySilent.Load()
		wait := time.Until(readAt.Add(flow.Delay))
		if d.connection.ctx.Err() != nil {
			return false
		}
		if !silent && wait <= 0 {
			return true
		}
		if !d.waitForChange(silent, wait, changed) {
			return false
		}
	}
}

// waitForChange waits until the faults change or, unless silent, for at most wait. It
// returns false if the connection ends.
func (d direction) waitForChange(silent bool, wait time.Duration, changed <-chan struct{}) bool {
	var elapsed <-chan time.Time
	if !silent {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-elapsed:
		return true
	case <-changed:
		return true
	case <-d.connection.ctx.Done():
		return false
	}
}

// initialQuota returns the quota that CutAfter sets.
func initialQuota(cutAfter int64) int64 {
	if cutAfter <= 0 {
		return math.MaxInt64
	}
	return cutAfter
}

// burstBytes returns the number of bytes sent in one burst at a rate.
func burstBytes(bytesPerSecond int64) int {
	if bytesPerSecond <= 0 {
		return maxChunkBytes
	}
	return int(min(max(bytesPerSecond/burstsPerSecond, 1), maxChunkBytes))
}
