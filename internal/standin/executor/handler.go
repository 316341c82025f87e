package executor

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
)

const (
	// maxSettingBytes bounds the body of a control request.
	maxSettingBytes = 64 << 10
	// drainBytes is read of a request that is refused, so that the answer is not lost
	// to a connection reset.
	drainBytes = 1 << 20
)

// request is a service request in flight.
type request struct {
	id       string
	key      string
	path     string
	behavior behavior
	received int64
	sent     int64
	// holdsSlot and left are guarded by the executor's mutex.
	holdsSlot bool
	left      bool
}

type connectionKey struct{}

// Server returns an HTTP server, not yet listening, that serves Handler and follows
// its connections, which Faults.SilenceOpen and Event.OpenConnections need.
func (e *Executor) Server() *http.Server {
	return &http.Server{
		Handler:   e.Handler(),
		ConnState: e.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, e.connect(c))
		},
	}
}

// Handler returns the executor's HTTP API. All other requests are service requests.
//
//	GET /journal  one Event per line
//	PUT /faults   Faults
//	PUT /state    membership.State as a JSON string: "Live" or "Leaving"
func (e *Executor) Handler() http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		// A ServeMux would redirect paths that it does not regard as clean.
		switch in.Method + " " + in.URL.Path {
		case "GET /journal":
			e.Journal.ServeHTTP(out, in)
		case "PUT /faults":
			serveSetting(out, in, e.SetFaults)
		case "PUT /state":
			serveSetting(out, in, e.SetState)
		default:
			e.serve(out, in)
		}
	})
}

// serveSetting decodes the body of a request and hands it to apply.
func serveSetting[T any](out http.ResponseWriter, in *http.Request, apply func(T)) {
	var value T
	err := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxSettingBytes)).Decode(&value)
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
}

func (e *Executor) serve(out http.ResponseWriter, in *http.Request) {
	asked, err := parseBehavior(in.URL.Query())
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	r := &request{
		id:       in.Header.Get(protocol.RequestHeader),
		key:      in.Header.Get(protocol.KeyHeader),
		path:     in.URL.Path,
		behavior: asked,
	}
	c, _ := in.Context().Value(connectionKey{}).(*connection)
	switch e.admit(r, c) {
	case swallowed:
		swallow(in)
	case refused:
		refuse(out, in)
	default:
		e.run(out, in, r, c)
	}
}

// swallow reads the request and never answers.
func swallow(in *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, MaxRequestBytes))
	<-in.Context().Done()
	panic(http.ErrAbortHandler)
}

func refuse(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, drainBytes))
	out.Header().Set(protocol.StatusHeader, protocol.StatusNotRun)
	http.Error(out, "not run", http.StatusServiceUnavailable)
}

// run executes an admitted request. The work goes on when the caller leaves, as it
// does in a service that can't be interrupted; the slot stays in use until then.
func (e *Executor) run(out http.ResponseWriter, in *http.Request, r *request, c *connection) {
	reason := ""
	defer func() { e.leave(r, reason) }()
	var err error
	r.received, err = io.Copy(io.Discard, http.MaxBytesReader(out, in.Body, MaxRequestBytes))
	if err != nil {
		reason = ReasonRequestCut
		panic(http.ErrAbortHandler)
	}
	begun := e.clock().Now()
	slowFactor := e.begin(r)
	e.work(r.behavior.work, slowFactor)
	answer := &answer{executor: e, out: out, in: in, request: r, connection: c}
	err = answer.send()
	if err == nil && !r.behavior.feed {
		e.measure(e.clock().Since(begun))
	}
	reason = cutReason(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func cutReason(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errDied):
		return ReasonDied
	default:
		return ReasonCallerLeft
	}
}
