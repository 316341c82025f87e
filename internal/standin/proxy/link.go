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
	// chunkSize is the most that is read at once, in bytes.
	chunkSize = 32 << 10
	// burstsPerSecond divides a rate into bursts, so that a low rate trickles.
	burstsPerSecond = 20
	// queuedChunks bounds what a delay holds for one direction of a connection.
	queuedChunks = 64
)

// chunk is what was read at once.
type chunk struct {
	content []byte
	read    time.Time
	// broken tells that the sender failed after the content.
	broken bool
}

// link is a proxied connection.
type link struct {
	proxy  *Proxy
	client *net.TCPConn
	ctx    context.Context
	cancel context.CancelFunc
	silent atomic.Bool
	// quota is how many bytes may still go to the client.
	quota atomic.Int64
}

// direction is one direction of a link.
type direction struct {
	link     *link
	from, to *net.TCPConn
	limiter  *rate.Limiter
	count    *atomic.Int64
	flow     func(Faults) Flow
	quota    *atomic.Int64 // nil for no quota
}

func newLink(p *Proxy, client *net.TCPConn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{proxy: p, client: client, ctx: ctx, cancel: cancel}
}

// reset ends a link and discards what is on its way.
func (l *link) reset() {
	_ = l.client.SetLinger(0)
	_ = l.client.Close()
	l.cancel()
}

// run forwards in both directions until both have ended or the link is reset.
func (l *link) run(server *net.TCPConn) {
	p := l.proxy
	up := direction{
		link: l, from: l.client, to: server, limiter: p.toServer, count: &p.bytesToServer,
		flow: func(f Faults) Flow { return f.ToServer },
	}
	down := direction{
		link: l, from: server, to: l.client, limiter: p.toClient, count: &p.bytesToClient,
		flow: func(f Faults) Flow { return f.ToClient }, quota: &l.quota,
	}
	var group sync.WaitGroup
	stop := context.AfterFunc(l.ctx, func() {
		_ = server.Close()
		_ = l.client.Close()
	})
	defer stop()
	up.start(&group)
	down.start(&group)
	group.Wait()
	l.cancel()
	_ = server.Close()
	_ = l.client.Close()
}

func (d direction) start(group *sync.WaitGroup) {
	queue := make(chan chunk, queuedChunks)
	group.Go(func() { d.read(queue) })
	group.Go(func() { d.write(queue) })
}

// read queues what arrives until the sender ends or the link does.
func (d direction) read(queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, chunkSize)
	for {
		n, err := d.from.Read(buffer)
		c := chunk{content: bytes.Clone(buffer[:n]), read: time.Now()}
		c.broken = err != nil && !errors.Is(err, io.EOF)
		select {
		case queue <- c:
		case <-d.link.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// write forwards the queue and then the end of the sender.
func (d direction) write(queue <-chan chunk) {
	for c := range queue {
		if !d.pass(c) {
			d.end(c.broken)
			return
		}
	}
	if d.await(time.Now()) {
		_ = d.to.CloseWrite()
	}
}

// end closes both connections. After a failure of the sender the receiver sees a
// reset, since the end of the stream would make a cut answer look whole.
func (d direction) end(broken bool) {
	if broken {
		_ = d.to.SetLinger(0)
	}
	d.link.cancel()
}

// pass forwards a chunk and reports whether the link goes on.
func (d direction) pass(c chunk) bool {
	for content := c.content; len(content) > 0; {
		if !d.await(c.read) {
			return false
		}
		faults, _ := d.link.proxy.state()
		n := min(len(content), burst(d.flow(faults).Rate))
		if d.limiter.WaitN(d.link.ctx, n) != nil {
			// The rate was lowered since it was read, or the link has ended.
			continue
		}
		if !d.send(content[:n]) {
			return false
		}
		content = content[n:]
	}
	return !c.broken
}

// send writes as much as the quota leaves and reports whether the link goes on.
func (d direction) send(content []byte) bool {
	content = content[:reserve(d.quota, len(content))]
	// Counted first: the receiver may act on the bytes before Write returns, for
	// example by setting a new quota.
	d.count.Add(int64(len(content)))
	n, err := d.to.Write(content)
	d.count.Add(int64(n - len(content)))
	if d.quota != nil && d.quota.Load() <= 0 {
		return false
	}
	return err == nil
}

// reserve takes up to n bytes from a quota and returns how many; a nil quota has no end.
func reserve(quota *atomic.Int64, n int) int {
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

// await waits for the delay of what was read at a time and for the end of a
// silence. It reports whether the link goes on.
func (d direction) await(read time.Time) bool {
	for {
		faults, changed := d.link.proxy.state()
		flow := d.flow(faults)
		silent := flow.Silence || d.link.silent.Load()
		wait := time.Until(read.Add(flow.Delay))
		if d.link.ctx.Err() != nil {
			return false
		}
		if !silent && wait <= 0 {
			return true
		}
		if !d.pause(silent, wait, changed) {
			return false
		}
	}
}

// pause waits for a change of the faults or, unless silent, for a time.
func (d direction) pause(silent bool, wait time.Duration, changed <-chan struct{}) bool {
	var over <-chan time.Time
	if !silent {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-over:
		return true
	case <-changed:
		return true
	case <-d.link.ctx.Done():
		return false
	}
}

// quota returns the bytes that CutAfter leaves.
func quota(cutAfter int64) int64 {
	if cutAfter <= 0 {
		return math.MaxInt64
	}
	return cutAfter
}

// burst returns how many bytes are sent at once at a rate.
func burst(bytesPerSecond int64) int {
	if bytesPerSecond <= 0 {
		return chunkSize
	}
	return int(min(max(bytesPerSecond/burstsPerSecond, 1), chunkSize))
}
