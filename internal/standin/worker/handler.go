package worker

import (
	"encoding/json"
	"errors"
	"net/http"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// maxControlBytes bounds the body of requests other than sync requests.
const maxControlBytes = 64 << 10

// Handler returns the worker's HTTP API:
//
//	POST /sync       SyncRequest -> SyncResponse (protocol of package backend/worker)
//	GET  /journal    one Event per line
//	PUT  /faults     Faults
//	PUT  /state      membership.State as a JSON string: "Live" or "Leaving"
//	POST /executors  ExecutorUsage of an executor on this instance
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sync", w.serveSync)
	mux.Handle("GET /journal", &w.Journal)
	mux.HandleFunc("PUT /faults", controlHandler(w.SetFaults))
	mux.HandleFunc("PUT /state", controlHandler(w.SetState))
	mux.HandleFunc("POST /executors", controlHandler(w.ReportExecutor))
	return mux
}

func (w *Worker) serveSync(out http.ResponseWriter, r *http.Request) {
	var request protocol.SyncRequest
	if !decode(out, r, protocol.MaxRequestBytes, &request) {
		return
	}
	if w.waitUntilHangEnds(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	response, err := w.Sync(request)
	switch {
	case errors.Is(err, protocol.ErrStaleEpoch):
		respond(out, http.StatusConflict, protocol.ConflictEpoch, response)
	case errors.Is(err, protocol.ErrStaleBasis):
		respond(out, http.StatusConflict, protocol.ConflictBasis, response)
	case err != nil:
		http.Error(out, err.Error(), http.StatusBadRequest)
	default:
		respond(out, http.StatusOK, "", response)
	}
}

func respond(out http.ResponseWriter, status int, conflict protocol.Conflict, response protocol.SyncResponse) {
	out.Header().Set("Content-Type", "application/json")
	if conflict != "" {
		out.Header().Set(protocol.ConflictHeader, string(conflict))
	}
	out.WriteHeader(status)
	// The write fails only if the client has closed the connection; there is no one
	// to report the error to.
	_ = json.NewEncoder(out).Encode(response)
}

// controlHandler returns a handler that decodes the request body as JSON and passes it to
// apply.
func controlHandler[T any](apply func(T)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var value T
		if decode(out, r, maxControlBytes, &value) {
			apply(value)
		}
	}
}

func decode(out http.ResponseWriter, r *http.Request, limit int64, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(out, r.Body, limit)).Decode(value)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(out, err.Error(), status)
	return false
}
