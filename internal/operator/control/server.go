package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	// DefaultWait is how long a publication waits by default until all instances have the
	// version in force.
	DefaultWait = 11 * time.Second
	// maxWait is the longest wait that a request can ask for.
	maxWait = time.Minute
	// storeTimeout bounds the time that a request spends on table accesses.
	storeTimeout = 10 * time.Second
)

// Errors that a Backend returns.
var (
	// ErrNotFound reports that the zone, task, job or request of the call is unknown.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports a concurrent change by another operator.
	ErrConflict = errors.New("conflict with another change")
)

// Backend is the entry instance that the API operates on.
type Backend interface {
	// Manifest returns the manifest in force on the instance.
	Manifest() manifest.Published
	// Publish stores a manifest as the version after base and waits until it is in force
	// on all instances, wait has passed or ctx ends. It fails with manifest.Findings if
	// the manifest can't follow base, and with ErrConflict if base is not the newest
	// version.
	Publish(ctx context.Context, m manifest.Manifest, base manifest.Version, author string, wait time.Duration) (PublishAnswer, error)
	// Zones returns the availability zones of the manifest.
	Zones(ctx context.Context) ([]ZoneAnswer, error)
	// SetZone takes an availability zone out of service or returns it to service.
	SetZone(ctx context.Context, name membership.Zone, to zone.Service, author string) (ZoneAnswer, error)
	// Status returns the status of the instance.
	Status(ctx context.Context) StatusAnswer
	// Explain returns the recorded events of a task, job or request. It fails with
	// ErrNotFound if there are none.
	Explain(ctx context.Context, kind Kind, id string) (ExplainAnswer, error)
}

// Counters counts events by name and serves the counters over HTTP.
type Counters interface {
	http.Handler
	Add(name string, delta int64)
}

// Server serves the operator API.
type Server struct {
	Backend  Backend
	Counters Counters
}

// Handler returns the routes of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest", s.showManifest)
	mux.HandleFunc("PUT /manifest", s.publish)
	mux.HandleFunc("GET /zones", s.zones)
	mux.HandleFunc("POST /zones/{zone}/out", s.setZone(zone.OutOfService))
	mux.HandleFunc("POST /zones/{zone}/in", s.setZone(zone.InService))
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /explain/{kind}/{id...}", s.explain)
	mux.Handle("GET /debug/vars", s.Counters)
	return mux
}

func (s *Server) showManifest(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Backend.Manifest())
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, "Invalid", fmt.Errorf("query parameter base: %q is not a version number", r.URL.Query().Get("base")))
		return
	}
	wait, err := parseWait(r.URL.Query().Get("wait"))
	if err != nil {
		s.writeError(w, http.StatusBadRequest, "Invalid", err)
		return
	}
	content, err := intake.ReadBody(r.Context(), w, r, manifest.MaxSize)
	if intake.IsRefusal(err) {
		s.writeError(w, http.StatusServiceUnavailable, "RequestMemory", err)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = manifest.Findings{{Problem: fmt.Sprintf("the manifest is larger than %d bytes", tooLarge.Limit), Fix: "split or shorten it"}}
	}
	if err != nil {
		s.writeError(w, http.StatusUnprocessableEntity, "InvalidManifest", err)
		return
	}
	m, err := manifest.Load(bytes.NewReader(content))
	if err != nil {
		s.writeError(w, http.StatusUnprocessableEntity, "InvalidManifest", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout+wait)
	defer cancel()
	answer, err := s.Backend.Publish(ctx, m, manifest.Version(base), r.URL.Query().Get("by"), wait)
	if err != nil {
		s.writeBackendError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return DefaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, fmt.Errorf("query parameter wait: %q is not a duration between 0s and %s", text, maxWait)
	}
	return wait, nil
}

func (s *Server) zones(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	answer, err := s.Backend.Zones(ctx)
	if err != nil {
		s.writeBackendError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) setZone(to zone.Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
		defer cancel()
		answer, err := s.Backend.SetZone(ctx, membership.Zone(r.PathValue("zone")), to, r.URL.Query().Get("by"))
		if err != nil {
			s.writeBackendError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Backend.Status(r.Context()))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	kind := Kind(r.PathValue("kind"))
	if kind != Task && kind != Job && kind != Request {
		s.writeError(w, http.StatusBadRequest, "Invalid", fmt.Errorf("%q can't be explained; use task, job or request", kind))
		return
	}
	answer, err := s.Backend.Explain(r.Context(), kind, r.PathValue("id"))
	if err != nil {
		s.writeBackendError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// writeBackendError answers with the status and reason for an error of the Backend.
func (s *Server) writeBackendError(w http.ResponseWriter, err error) {
	var findings manifest.Findings
	switch {
	case errors.As(err, &findings):
		s.writeError(w, http.StatusUnprocessableEntity, "InvalidManifest", err)
	case errors.Is(err, ErrNotFound):
		s.writeError(w, http.StatusNotFound, "NotFound", err)
	case errors.Is(err, ErrConflict):
		s.writeError(w, http.StatusConflict, "Conflict", err)
	case errors.Is(err, table.ErrOutcomeUnknown):
		s.writeError(w, http.StatusServiceUnavailable, "OutcomeUnknown", err)
	case errors.Is(err, table.ErrUnavailable):
		s.writeError(w, http.StatusServiceUnavailable, "StoreUnavailable", err)
	default:
		s.writeError(w, http.StatusInternalServerError, "Internal", err)
	}
}

func (s *Server) writeError(w http.ResponseWriter, status int, reason string, err error) {
	s.Counters.Add("Operator.Refused."+reason, 1)
	answer := ErrorAnswer{Reason: reason, Message: err.Error()}
	var findings manifest.Findings
	if errors.As(err, &findings) {
		answer.Findings = findings
	}
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}
