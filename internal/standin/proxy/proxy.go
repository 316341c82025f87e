// Package proxy forwards TCP connections on loopback and injects faults into
// them. It is for tests and measurements.
package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Flow has the faults of one direction.
type Flow struct {
	// Silence forwards nothing and keeps connections open. What waits is forwarded
	// when it ends.
	Silence bool
	// Delay is added to each byte.
	Delay time.Duration
	// Rate bounds all connections together in bytes per second; 0 is no bound.
	Rate int64
}

// Faults are the faults of a proxy. The zero value forwards everything.
type Faults struct {
	// Refuse refuses new connections, as a closed port does.
	Refuse   bool
	ToServer Flow
	ToClient Flow
	// CutAfter closes each connection after that many more bytes to the client; 0
	// is never. The count begins when the faults are set.
	CutAfter int64
}

// Proxy forwards the connections to its address to a target.
type Proxy struct {
	port     *port
	group    sync.WaitGroup
	toServer *rate.Limiter
	toClient *rate.Limiter

	bytesToServer atomic.Int64
	bytesToClient atomic.Int64

	mutex    sync.Mutex
	target   string
	faults   Faults
	changed  chan struct{} // closed when faults change
	listener net.Listener  // nil while connections are refused
	links    map[*link]struct{}
	closed   bool
}

// New returns a Proxy that listens on a free port of 127.0.0.1. The target is
// host:port and need not accept connections yet.
func New(target string) (*Proxy, error) {
	port, err := reservePort()
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{
		port:     port,
		target:   target,
		toServer: rate.NewLimiter(rate.Inf, chunkSize),
		toClient: rate.NewLimiter(rate.Inf, chunkSize),
		changed:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
	if err := p.listen(); err != nil {
		port.release()
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	return p, nil
}

// Address returns the host:port of the proxy.
func (p *Proxy) Address() string {
	return p.port.address
}

// SetFaults replaces the faults. Those of flows act on existing connections too.
func (p *Proxy) SetFaults(faults Faults) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.faults = faults
	setRate(p.toServer, faults.ToServer.Rate)
	setRate(p.toClient, faults.ToClient.Rate)
	for link := range p.links {
		link.quota.Store(quota(faults.CutAfter))
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.refuse(faults.Refuse)
}

// SetTarget changes where new connections are forwarded to, for a server that
// learns its port only after its proxy's address was given out.
func (p *Proxy) SetTarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// Target returns where new connections are forwarded to.
func (p *Proxy) Target() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.target
}

// Faults returns the faults that are set.
func (p *Proxy) Faults() Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// Cut closes all existing connections.
func (p *Proxy) Cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for link := range p.links {
		link.reset()
	}
}

// SilenceExisting silences the existing connections in both directions for good,
// while new ones work.
func (p *Proxy) SilenceExisting() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for link := range p.links {
		link.silent.Store(true)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.links)
}

// Bytes returns the bytes forwarded in each direction.
func (p *Proxy) Bytes() (toServer, toClient int64) {
	return p.bytesToServer.Load(), p.bytesToClient.Load()
}

// Close stops listening, closes all connections and waits for them to end.
func (p *Proxy) Close() {
	p.mutex.Lock()
	if !p.closed {
		p.closed = true
		p.stopListening()
		p.port.release()
		for link := range p.links {
			link.reset()
		}
	}
	p.mutex.Unlock()
	p.group.Wait()
}

func (p *Proxy) refuse(refuse bool) error {
	if refuse {
		p.stopListening()
		return nil
	}
	if p.listener != nil {
		return nil
	}
	return p.listen()
}

func (p *Proxy) stopListening() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *Proxy) listen() error {
	listener, err := p.port.listen()
	if err != nil {
		return err
	}
	p.listener = listener
	p.group.Go(func() { p.accept(listener) })
	return nil
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.forward(client.(*net.TCPConn)) })
	}
}

// forward serves a connection until both directions have ended.
func (p *Proxy) forward(client *net.TCPConn) {
	link := newLink(p, client)
	if !p.add(link) {
		link.reset()
		return
	}
	defer p.remove(link)
	ctx, cancel := context.WithTimeout(link.ctx, dialTimeout)
	defer cancel()
	server, err := new(net.Dialer).DialContext(ctx, "tcp", p.Target())
	if err != nil {
		link.reset()
		return
	}
	link.run(server.(*net.TCPConn))
}

func (p *Proxy) add(link *link) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	link.quota.Store(quota(p.faults.CutAfter))
	p.links[link] = struct{}{}
	return true
}

func (p *Proxy) remove(link *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, link)
}

// state returns the faults and a channel that is closed when they change.
func (p *Proxy) state() (Faults, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.changed
}

func setRate(limiter *rate.Limiter, bytesPerSecond int64) {
	if bytesPerSecond <= 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(burst(bytesPerSecond))
	limiter.SetLimit(rate.Limit(bytesPerSecond))
}
