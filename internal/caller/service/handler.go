// Package service handles the service requests and feeds of callers. It acquires a slot,
// forwards the request to an executor and returns the complete response, or else reports
// whether the request may have run.
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

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// DefaultRetryAfter is the retry delay of a failure that states none.
const DefaultRetryAfter = 200 * time.Millisecond

// Config holds the dependencies of a Handler. SlotSource, Sender and Manifests are required.
type Config struct {
	SlotSource SlotSource
	Sender     Sender
	Manifests  ManifestSource
	// Keys claims keys. If it is nil, requests with a key are rejected.
	Keys     KeyClaimer
	Governor Governor
	Counters Counters
	Recorder Recorder
	Clock    clockwork.Clock
}

// Handler is the HTTP handler for /services/<service>/<path>.
type Handler struct {
	Config
	inFlight inFlightTracker
}

// NewHandler returns a Handler. Optional dependencies that are nil are replaced by
// no-ops, and Clock by the real clock.
func NewHandler(config Config) *Handler {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Governor == nil {
		config.Governor = noGovernor{}
	}
	if config.Counters == nil {
		config.Counters = discardSink{}
	}
	if config.Recorder == nil {
		config.Recorder = discardSink{}
	}
	return &Handler{Config: config}
}

// Drain refuses new requests and waits for all requests, feeds and attempts in flight to
// finish. It fails only if ctx is done first.
func (h *Handler) Drain(ctx context.Context) error {
	select {
	case <-h.inFlight.drain():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("draining service requests: %w", ctx.Err())
	}
}

// ServeHTTP handles one service request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock.Now()
	c := &call{id: uuid.NewString()}
	w.Header().Set(HeaderRequest, c.id)
	if !h.inFlight.begin() {
		w.Header().Set("Connection", "close")
		h.respondFailure(w, c, failure{outcome: NotRun, reason: ReasonDraining, status: http.StatusServiceUnavailable})
		return
	}
	defer h.inFlight.end()
	if rejected := h.validate(c, r); rejected != nil {
		h.respondFailure(w, c, *rejected)
		return
	}
	c.deadline = arrived.Add(c.timeout)
	ctx, cancel := clockwork.WithDeadline(r.Context(), h.Clock, c.deadline)
	defer cancel()
	if rejected := h.receiveBody(ctx, c, w, r); rejected != nil {
		h.respondFailure(w, c, *rejected)
		return
	}
	h.Governor.CreditRetryBudget(c.service)
	h.Counters.Add("Service.Requests", 1)
	h.serve(r.Context(), ctx, c, w)
}

// serve runs the exchange and writes its response or failure.
func (h *Handler) serve(callerCtx, deadlineCtx context.Context, c *call, w http.ResponseWriter) {
	contexts := stepContexts{caller: callerCtx, acquire: deadlineCtx, wait: deadlineCtx}
	if c.nonIdempotent {
		// If the caller disconnects, a non-idempotent request stops waiting for a slot, but
		// continues to claim its key and to wait for its response until the deadline.
		detached, cancel := clockwork.WithDeadline(context.WithoutCancel(callerCtx), h.Clock, c.deadline)
		defer cancel()
		contexts.wait = detached
	}
	x := newExchange(h, c, contexts)
	defer x.stop()
	result, failed := x.run()
	switch {
	case failed != nil:
		h.respondFailure(w, c, *failed)
	case c.feed:
		h.streamFeed(c, w, result)
	default:
		h.writeResponse(deadlineCtx, c, w, result)
	}
}

// validate fills the call from the request line and the headers, and returns a failure if
// they are invalid.
func (h *Handler) validate(c *call, r *http.Request) *failure {
	published := h.Manifests.Current()
	c.version = published.Version
	name, path, _ := splitPath(r.URL.Path)
	findings := append(checkProtocol(r), checkHeaders(c, r.Header)...)
	service, ok := findService(published.Manifest, name)
	c.service = service
	rejected := failure{outcome: NotRun, reason: ReasonInvalid, status: http.StatusBadRequest}
	if !ok {
		rejected.reason, rejected.status = ReasonUnknownService, http.StatusNotFound
		findings = append(findings, Finding{
			Place:   "path",
			Problem: fmt.Sprintf("names service %q, which the manifest does not have", name),
			Fix:     "use /services/<service>/<path> with a service of the manifest",
		})
	}
	if len(findings) > 0 {
		rejected.findings = findings
		return &rejected
	}
	c.timeout = min(positiveOr(c.timeout, c.maxDuration()), c.maxDuration())
	c.method, c.header = r.Method, endToEndHeaders(r.Header)
	c.url = url.URL{Path: path, RawPath: innerRawPath(r.URL), RawQuery: r.URL.RawQuery}
	return nil
}

// receiveBody reads the request body. It fails if the body has not arrived by the
// deadline.
func (h *Handler) receiveBody(ctx context.Context, c *call, w http.ResponseWriter, r *http.Request) *failure {
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		// A writer without deadline support, as in tests, can't interrupt the read.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	body, reason := readBody(ctx, w, r, int64(c.service.MaxBody))
	c.body = body
	switch reason {
	case ReasonBodyTooLarge:
		return &failure{outcome: NotRun, reason: reason, status: http.StatusRequestEntityTooLarge, findings: []Finding{{
			Place:   "body",
			Problem: "is larger than the service allows",
			Fix:     fmt.Sprintf("send at most %d bytes", c.service.MaxBody),
		}}}
	case ReasonRequestMemory:
		return &failure{outcome: NotRun, reason: reason, status: http.StatusServiceUnavailable, retryAfter: intake.RetryAfter}
	case ReasonBodyUnreadable:
		return &failure{outcome: NotRun, reason: reason, status: http.StatusBadRequest}
	}
	return nil
}

// failure is a response that does not come from an executor.
type failure struct {
	outcome    Outcome
	reason     Reason
	status     int
	retryAfter time.Duration
	findings   []Finding
	facts      []Fact
}

// respondFailure counts, records and writes a failure.
func (h *Handler) respondFailure(w http.ResponseWriter, c *call, f failure) {
	retryAfter := positiveOr(f.retryAfter, DefaultRetryAfter)
	if f.findings == nil {
		f.findings = []Finding{{Place: "request", Problem: string(f.reason), Fix: fmt.Sprintf("retry after %s", retryAfter)}}
	}
	h.Counters.Add(counterName(f.outcome, f.reason), 1)
	h.record(c, string(f.outcome), f.reason, append(f.facts, Fact{Name: "RetryAfter", Value: retryAfter.String()})...)
	f.retryAfter = retryAfter
	f.write(w)
}

// WriteRefusal writes the response for a request that was not run, in the format of failed
// service requests.
func WriteRefusal(w http.ResponseWriter, status int, refusal Refusal, findings ...Finding) {
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
	// An error means that the caller has disconnected, so there is nobody to report it to.
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

// discardSink discards counters and decisions.
type discardSink struct{}

func (discardSink) Add(string, int64) {}

func (discardSink) Record(Decision) {}

// noGovernor is a Governor that allows neither retries nor hedges.
type noGovernor struct{}

func (noGovernor) CreditRetryBudget(manifest.Service) {}

func (noGovernor) AllowExtraAttempt(manifest.Service) bool { return false }

func (noGovernor) Observe(manifest.Service, membership.InstanceID, Observation) {}

func (noGovernor) HedgeDelay(manifest.Service) (time.Duration, bool) { return 0, false }
