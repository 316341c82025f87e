// Package service serves the requests and feeds of callers. It takes a slot,
// sends the request to an executor and returns the whole answer, or says
// truthfully what became of the request.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// DefaultRetryAfter is given with a refusal whose source names no time.
const DefaultRetryAfter = 200 * time.Millisecond

// Config has what a Handler needs. Slots, Sender and Manifests are required.
type Config struct {
	Slots     SlotSource
	Sender    Sender
	Manifests ManifestSource
	// Keys claims keys; without it requests with a key are refused.
	Keys     Keys
	Governor Governor
	Counters Counters
	Recorder Recorder
	Clock    clockwork.Clock
}

// Handler serves /services/<service>/<path>.
type Handler struct {
	Config
	flights flights
}

// NewHandler returns a Handler. Missing optional parts do nothing.
func NewHandler(config Config) *Handler {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Governor == nil {
		config.Governor = noGovernor{}
	}
	if config.Counters == nil {
		config.Counters = nothing{}
	}
	if config.Recorder == nil {
		config.Recorder = nothing{}
	}
	return &Handler{Config: config}
}

// Drain refuses new requests and waits until all requests, feeds and attempts
// in flight are over. It fails with the error of ctx.
func (h *Handler) Drain(ctx context.Context) error {
	select {
	case <-h.flights.drain():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("draining service requests: %w", ctx.Err())
	}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock.Now()
	c := &call{id: uuid.NewString()}
	w.Header().Set(HeaderRequest, c.id)
	if !h.flights.enter() {
		w.Header().Set("Connection", "close")
		h.answer(w, c, failure{outcome: NotRun, reason: ReasonDraining, status: http.StatusServiceUnavailable})
		return
	}
	defer h.flights.leave()
	if refused := h.check(c, r); refused != nil {
		h.answer(w, c, *refused)
		return
	}
	c.deadline = arrived.Add(c.timeout)
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.Clock, c.deadline)
	defer cancel()
	if refused := h.receive(ctx, c, w, r); refused != nil {
		h.answer(w, c, *refused)
		return
	}
	h.Governor.Arrived(c.service)
	h.Counters.Add("Service.Requests", 1)
	h.serve(r.Context(), ctx, c, w)
}

// serve finds an answer and passes it on.
func (h *Handler) serve(caller, limited context.Context, c *call, w http.ResponseWriter) {
	bounds := contexts{caller: caller, acquire: limited, wait: limited}
	if c.nonIdempotent {
		detached, cancel := clockwork.WithDeadline(context.WithoutCancel(caller), h.Clock, c.deadline)
		defer cancel()
		bounds.wait = detached
	}
	x := newExchange(h, c, bounds)
	defer x.stop()
	won, lost := x.run()
	switch {
	case lost != nil:
		h.answer(w, c, *lost)
	case c.feed:
		h.stream(c, w, won)
	default:
		h.deliver(limited, c, w, won)
	}
}

// check fills the call from everything but the body.
func (h *Handler) check(c *call, r *http.Request) *failure {
	published := h.Manifests.Current()
	c.version = published.Version
	name, path, _ := splitPath(r.URL.Path)
	findings := append(checkProtocol(r), checkHeaders(c, r.Header)...)
	service, ok := findService(published.Manifest, name)
	c.service = service
	refused := failure{outcome: NotRun, reason: ReasonInvalid, status: http.StatusBadRequest}
	if !ok {
		refused.reason, refused.status = ReasonUnknownService, http.StatusNotFound
		findings = append(findings, Finding{
			Place:   "path",
			Problem: fmt.Sprintf("names service %q, which the manifest does not have", name),
			Fix:     "use /services/<service>/<path> with a service of the manifest",
		})
	}
	if len(findings) > 0 {
		refused.findings = findings
		return &refused
	}
	c.timeout = min(positiveOr(c.timeout, c.maxDuration()), c.maxDuration())
	c.method, c.header = r.Method, endToEnd(r.Header)
	c.url = url.URL{Path: path, RawPath: rawPath(r.URL), RawQuery: r.URL.RawQuery}
	return nil
}

// receive reads the body. The deadline also ends a body that arrives too slowly.
func (h *Handler) receive(ctx context.Context, c *call, w http.ResponseWriter, r *http.Request) *failure {
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		// Writers without deadlines, as in tests, leave the read to its own end.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	body, reason := readBody(w, r, int64(c.service.MaxBody))
	c.body = body
	switch reason {
	case ReasonBodyTooLarge:
		return &failure{outcome: NotRun, reason: reason, status: http.StatusRequestEntityTooLarge, findings: []Finding{{
			Place:   "body",
			Problem: "is larger than the service allows",
			Fix:     fmt.Sprintf("send at most %d bytes", c.service.MaxBody),
		}}}
	case ReasonBodyUnreadable:
		return &failure{outcome: NotRun, reason: reason, status: http.StatusBadRequest}
	}
	return nil
}

// failure is an answer that did not come from an executor.
type failure struct {
	outcome    Outcome
	reason     Reason
	status     int
	retryAfter time.Duration
	findings   []Finding
	facts      []Fact
}

// answer sends a failure with its reason and the time at which to retry.
func (h *Handler) answer(w http.ResponseWriter, c *call, f failure) {
	retryAfter := positiveOr(f.retryAfter, DefaultRetryAfter)
	if f.findings == nil {
		f.findings = []Finding{{Place: "request", Problem: string(f.reason), Fix: fmt.Sprintf("retry after %s", retryAfter)}}
	}
	h.Counters.Add(counterName(f.outcome, f.reason), 1)
	h.record(c, string(f.outcome), f.reason, append(f.facts, Fact{Name: "RetryAfter", Value: retryAfter.String()})...)
	f.retryAfter = retryAfter
	f.write(w)
}

// Refuse answers a request that was not run, with the headers and the body of
// service requests.
func Refuse(w http.ResponseWriter, status int, refusal Refusal, findings ...Finding) {
	failure{
		outcome: NotRun, reason: refusal.Reason, status: status,
		retryAfter: positiveOr(refusal.RetryAfter, DefaultRetryAfter), findings: findings,
	}.write(w)
}

func (f failure) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(HeaderOutcome, string(f.outcome))
	header.Set(HeaderReason, string(f.reason))
	header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	header.Set(HeaderRetryAfter, f.retryAfter.String())
	header.Set("Content-Type", "application/json")
	w.WriteHeader(f.status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(ErrorBody{Findings: f.findings})
}

func counterName(outcome Outcome, reason Reason) string {
	if outcome == NotRun {
		return "Service.Refused." + string(reason)
	}
	return "Service.Unknown." + string(reason)
}

func (h *Handler) record(c *call, action string, reason Reason, facts ...Fact) {
	h.Recorder.Record(Decision{
		Request: c.id, Time: h.Clock.Now(), Service: c.service.Name, Manifest: c.version,
		Action: action, Reason: reason, Facts: facts,
	})
}

// nothing drops counters and decisions.
type nothing struct{}

func (nothing) Add(string, int64) {}

func (nothing) Record(Decision) {}

// noGovernor allows neither retries nor hedges.
type noGovernor struct{}

func (noGovernor) Arrived(manifest.Service) {}

func (noGovernor) AllowExtra(manifest.Service) bool { return false }

func (noGovernor) Observe(manifest.Service, membership.InstanceID, Observation) {}

func (noGovernor) HedgeDelay(manifest.Service) (time.Duration, bool) { return 0, false }
