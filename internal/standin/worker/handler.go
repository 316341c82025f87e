package worker

import (
	"encoding/json"
	"errors"
	"net/http"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
)

// maxSettingBytes bounds the body of requests other than a sync.
const maxSettingBytes = 64 << 10

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
	mux.HandleFunc("PUT /faults", setting(w.SetFaults))
	mux.HandleFunc("PUT /state", setting(w.SetState))
	mux.HandleFunc("POST /executors", setting(w.ReportExecutor))
	return mux
}

func (w *Worker) serveSync(out http.ResponseWriter, r *http.Request) {
	var request protocol.SyncRequest
	if !decode(out, r, protocol.MaxRequestBytes, &request) {
		return
	}
	if w.awaitHealed(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := w.Sync(request)
	switch {
	case errors.Is(err, protocol.ErrStaleEpoch):
		respond(out, http.StatusConflict, protocol.ConflictEpoch, answer)
	case errors.Is(err, protocol.ErrStaleBasis):
		respond(out, http.StatusConflict, protocol.ConflictBasis, answer)
	case err != nil:
		http.Error(out, err.Error(), http.StatusBadRequest)
	default:
		respond(out, http.StatusOK, "", answer)
	}
}

func respond(out http.ResponseWriter, status int, conflict protocol.Conflict, answer protocol.SyncResponse) {
	out.Header().Set("Content-Type", "application/json")
	if conflict != "" {
		out.Header().Set(protocol.ConflictHeader, string(conflict))
	}
	out.WriteHeader(status)
	// A client that has left sees a cut answer; there is nobody to report it to.
	_ = json.NewEncoder(out).Encode(answer)
}

// setting decodes the body of a request and hands it to apply.
func setting[T any](apply func(T)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var value T
		if decode(out, r, maxSettingBytes, &value) {
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
