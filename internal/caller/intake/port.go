package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// Counters counts events by name.
type Counters interface {
	Add(name string, delta int64)
}

// Port is a port with an HTTP server whose connections and requests are bounded. Counters and
// Clock must be set.
type Port struct {
	// Name is a part of the names of the counters.
	Name string
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// Budget is for the headers and bodies of requests.
	Budget *Budget
	// Limits returns the bounds of requests that are configured now. It may be nil.
	Limits   func() RequestLimits
	Counters Counters
	Clock    clockwork.Clock
	Log      zerolog.Logger

	lock        sync.Mutex
	connections map[*connection]struct{}
	logOnce     sync.Once
	sampledLog  zerolog.Logger
}

const (
	// logBurst lines a logPeriod are logged for each port.
	logBurst  = 5
	logPeriod = time.Second
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// NewServer returns an HTTP server for the port.
func (p *Port) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           p.bound(handler),
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         p.trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
}

// Listener returns a listener for the port's server.
func (p *Port) Listener(l net.Listener) net.Listener { return listener{l, p} }

func (p *Port) limits() RequestLimits {
	var l RequestLimits
	if p.Limits != nil {
		l = p.Limits()
	}
	return l.withDefaults()
}

// admit returns the connection if the port has a place for it, otherwise nil.
func (p *Port) admit(tcp *net.TCPConn) *connection {
	c, closedReason := p.place(tcp)
	if closedReason != "" {
		p.closed(closedReason)
	}
	return c
}

// place gives a connection a place, and returns nil if there is none. It returns why a connection, this
// or another one, was or has to be closed, or nothing.
func (p *Port) place(tcp *net.TCPConn) (c *connection, closedReason string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.MaxConnections > 0 && len(p.connections) >= p.MaxConnections {
		ph, found := p.closeOne()
		if !found {
			return nil, "New"
		}
		closedReason = phaseNames[ph]
	}
	c = newConnection(tcp, p)
	if p.connections == nil {
		p.connections = map[*connection]struct{}{}
	}
	p.connections[c] = struct{}{}
	return c, closedReason
}

// closeOne closes the connection that is least useful, if one may be closed, and returns its phase. The
// lock must be held.
func (p *Port) closeOne() (ph phase, found bool) {
	open := make([]*connection, 0, len(p.connections))
	activities := make([]activity, 0, len(p.connections))
	for c := range p.connections {
		open = append(open, c)
		activities = append(activities, c.activity())
	}
	selected := selectConnection(p.Clock.Now(), activities)
	if selected < 0 {
		return 0, false
	}
	delete(p.connections, open[selected])
	// The server notices by the error of its next read or write, and gives the bytes back.
	_ = open[selected].Conn.Close()
	return activities[selected].phase, true
}

// remove is called when a connection is closed.
func (p *Port) remove(c *connection) {
	c.lease.Release()
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.connections, c)
}

// trackState follows the states of the server's connections.
func (p *Port) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headerEnded = c.lease.Received() != nil
		c.enter(phaseHandling)
	case http.StateIdle:
		c.lease.Release()
		c.newHeader.Store(true)
		c.awaitsRequest.Store(true)
		c.enter(phaseIdle)
	}
}

// bound bounds the time for bodies that the handler doesn't read, and closes connections whose header
// was ended to free memory at the moment in which it had arrived.
func (p *Port) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.headerEnded {
			// Reads of the connection fail from now on, which would end the request while it is handled.
			p.refused("Header", ErrEnded)
			panic(http.ErrAbortHandler)
		}
		switch {
		case r.ContentLength == 0:
			c.enter(phaseHandling)
		case mayIgnoreBody(r.Method):
			// The request isn't ended for the memory or the place of another one while it is handled, unless
			// the handler begins to read the body.
			c.enter(phaseHandling)
			c.limitBodyPause()
		default:
			c.awaitBody()
		}
		next.ServeHTTP(w, r)
	})
}

// mayIgnoreBody reports whether handlers usually don't read the body of requests with the method.
func mayIgnoreBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete
}

func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

func (p *Port) count(event string) {
	p.Counters.Add("Intake."+p.Name+"."+event, 1)
}

// closed counts and logs a connection that the port has closed.
func (p *Port) closed(reason string) {
	p.count("Closed." + reason)
	p.log().Warn().Str("Event", "ConnectionClosed").Str("Port", p.Name).Str("Reason", reason).Send()
}

// refused counts and logs a request that was refused while its part arrived.
func (p *Port) refused(part string, err error) {
	reason := "TooLarge"
	switch {
	case errors.Is(err, ErrExhausted):
		reason = "Memory"
	case errors.Is(err, ErrEnded):
		reason = "Ended"
	case errors.Is(err, ErrStalled):
		reason = "Stalled"
	}
	p.count("Refused." + part + reason)
	p.log().Warn().Str("Event", "RequestRefused").Str("Port", p.Name).Str("Reason", part+reason).Send()
}

// log returns a logger whose lines are bounded in rate.
func (p *Port) log() *zerolog.Logger {
	p.logOnce.Do(func() {
		p.sampledLog = p.Log.Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
	})
	return &p.sampledLog
}
