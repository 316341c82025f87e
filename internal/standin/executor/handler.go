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
	// maxControlBytes bounds the body of a control request.
	maxControlBytes = 64 << 10
	// maxDrainBytes bounds how much of a refused request is read. Without reading it, the
	// response could be lost to a connection reset.
	maxDrainBytes = 1 << 20
)

// request is a service request in flight.
type request struct {
	id            string
	key           string
	path          string
	behavior      behavior
	receivedBytes int64
	sentBytes     int64
	// holdsSlot and finished are guarded by the executor's mutex.
	holdsSlot bool
	finished  bool
}

type connectionKey struct{}

// Server returns an HTTP server that serves Handler and isn't listening yet. It tracks its
// connections, which Faults.SilenceOpen and Event.OpenConnections need.
func (e *Executor) Server() *http.Server {
	return &http.Server{
		Handler:   e.Handler(),
		ConnState: e.trackConnection,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, e.addConnection(c))
		},
	}
}

// Handler returns the executor's HTTP API. All requests but these are service requests.
//
//	GET /journal  one Event per line
//	PUT /faults   Faults
//	PUT /state    membership.State as a JSON string: "Live" or "Leaving"
func (e *Executor) Handler() http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		// A ServeMux would redirect paths that aren't in its cleaned form.
		switch in.Method + " " + in.URL.Path {
		case "GET /journal":
			e.Journal.ServeHTTP(out, in)
		case "PUT /faults":
			handleControl(out, in, e.SetFaults)
		case "PUT /state":
			handleControl(out, in, e.SetState)
		default:
			e.serve(out, in)
		}
	})
}

// handleControl decodes the request body as JSON and passes it to apply.
func handleControl[T any](out http.ResponseWriter, in *http.Request, apply func(T)) {
	var value T
	err := json.NewDecoder(http.MaxBytesReader(out, in.Body, maxControlBytes)).Decode(&value)
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
}

func (e *Executor) serve(out http.ResponseWriter, in *http.Request) {
	behavior, err := parseBehavior(in.URL.Query())
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	r := &request{
		id:       in.Header.Get(protocol.RequestHeader),
		key:      in.Header.Get(protocol.KeyHeader),
		path:     in.URL.Path,
		behavior: behavior,
	}
	c, _ := in.Context().Value(connectionKey{}).(*connection)
	switch e.admit(r, c) {
	case unanswered:
		holdUnanswered(in)
	case refused:
		refuse(out, in)
	default:
		e.run(out, in, r, c)
	}
}

// holdUnanswered reads the request, waits for the caller to disconnect and sends no
// response.
func holdUnanswered(in *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, MaxRequestBytes))
	<-in.Context().Done()
	panic(http.ErrAbortHandler)
}

func refuse(out http.ResponseWriter, in *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, maxDrainBytes))
	out.Header().Set(protocol.StatusHeader, protocol.StatusNotRun)
	http.Error(out, "not run", http.StatusServiceUnavailable)
}

// run executes an admitted request. The work continues if the caller disconnects, as in a
// service that can't be interrupted, and the slot stays in use until the work ends.
func (e *Executor) run(out http.ResponseWriter, in *http.Request, r *request, c *connection) {
	reason := ""
	defer func() { e.finish(r, reason) }()
	var err error
	r.receivedBytes, err = io.Copy(io.Discard, http.MaxBytesReader(out, in.Body, MaxRequestBytes))
	if err != nil {
		reason = ReasonRequestBody
		panic(http.ErrAbortHandler)
	}
	startedAt := e.clock().Now()
	slowFactor := e.start(r)
	e.simulateWork(r.behavior.work, slowFactor)
	response := &response{executor: e, httpWriter: out, httpRequest: in, request: r, connection: c}
	err = response.send()
	if err == nil && !r.behavior.feed {
		e.recordLatency(e.clock().Since(startedAt))
	}
	reason = finishReason(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func finishReason(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, errConnectionCut):
		return ReasonConnectionCut
	default:
		return ReasonCallerDisconnected
	}
}
