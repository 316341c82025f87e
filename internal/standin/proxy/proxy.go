// Package proxy forwards TCP connections on loopback and injects faults into
// them, for tests and measurements.
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

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// Flow has the faults of one direction of all connections.
type Flow struct {
	// Silence forwards nothing and keeps connections open. Bytes that arrive meanwhile
	// are forwarded after the fault is cleared.
	Silence bool
	// Delay is the time by which each byte is delayed.
	Delay time.Duration
	// Rate bounds the bytes per second of all connections together; 0 means unlimited.
	Rate int64
}

// Faults are the faults of a proxy. The zero value has none.
type Faults struct {
	// Refuse refuses new connections, as a closed port does.
	Refuse   bool
	ToServer Flow
	ToClient Flow
	// CutAfter closes each connection after this many more bytes to the client; 0
	// means never. Bytes are counted from when the faults are set.
	CutAfter int64
}

// Proxy forwards connections to its address to a target.
type Proxy struct {
	port            *reservedPort
	goroutines      sync.WaitGroup
	toServerLimiter *rate.Limiter
	toClientLimiter *rate.Limiter

	bytesToServer atomic.Int64
	bytesToClient atomic.Int64

	mutex         sync.Mutex
	target        string
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	listener      net.Listener  // nil while connections are refused
	connections   map[*connection]struct{}
	closed        bool
}

// New returns a Proxy that listens on a free port of 127.0.0.1. The target is
// host:port and need not accept connections yet.
func New(target string) (*Proxy, error) {
	port, err := reservePort()
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{
		port:            port,
		target:          target,
		toServerLimiter: rate.NewLimiter(rate.Inf, maxChunkBytes),
		toClientLimiter: rate.NewLimiter(rate.Inf, maxChunkBytes),
		faultsChanged:   make(chan struct{}),
		connections:     map[*connection]struct{}{},
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

// SetFaults replaces the faults. All but Refuse also apply to existing connections.
func (p *Proxy) SetFaults(faults Faults) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.faults = faults
	setLimiterRate(p.toServerLimiter, faults.ToServer.Rate)
	setLimiterRate(p.toClientLimiter, faults.ToClient.Rate)
	for c := range p.connections {
		c.clientQuota.Store(initialQuota(faults.CutAfter))
	}
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
	return p.setRefusing(faults.Refuse)
}

// SetTarget changes the target of new connections, for a server that learns its port
// only after the proxy's address has been published.
func (p *Proxy) SetTarget(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// Target returns the target of new connections.
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

// Cut resets all existing connections.
func (p *Proxy) Cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		c.reset()
	}
}

// SilenceExisting permanently silences the existing connections in both directions;
// new connections work.
func (p *Proxy) SilenceExisting() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.connections {
		c.permanentlySilent.Store(true)
	}
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// Bytes returns the bytes forwarded in each direction.
func (p *Proxy) Bytes() (toServer, toClient int64) {
	return p.bytesToServer.Load(), p.bytesToClient.Load()
}

// Close stops listening, resets all connections and waits for them to end.
func (p *Proxy) Close() {
	p.mutex.Lock()
	if !p.closed {
		p.closed = true
		p.stopListening()
		p.port.release()
		for c := range p.connections {
			c.reset()
		}
	}
	p.mutex.Unlock()
	p.goroutines.Wait()
}

func (p *Proxy) setRefusing(refuse bool) error {
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
	p.goroutines.Go(func() { p.accept(listener) })
	return nil
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.handle(client.(*net.TCPConn)) })
	}
}

// handle connects to the target and forwards a connection until both directions have ended.
func (p *Proxy) handle(client *net.TCPConn) {
	c := newConnection(p, client)
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	server, err := new(net.Dialer).DialContext(ctx, "tcp", p.Target())
	if err != nil {
		c.reset()
		return
	}
	c.forward(server.(*net.TCPConn))
}

func (p *Proxy) add(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	c.clientQuota.Store(initialQuota(p.faults.CutAfter))
	p.connections[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, c)
}

// currentFaults returns the faults and a channel that is closed when they are replaced.
func (p *Proxy) currentFaults() (Faults, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults, p.faultsChanged
}

func setLimiterRate(limiter *rate.Limiter, bytesPerSecond int64) {
	if bytesPerSecond <= 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(burstBytes(bytesPerSecond))
	limiter.SetLimit(rate.Limit(bytesPerSecond))
}
