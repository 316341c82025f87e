package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Outcome tells a caller whether its request was run.
type Outcome string

// Outcomes of a request.
const (
	Completed Outcome = "Completed"
	NotRun    Outcome = "NotRun"
	Unknown   Outcome = "Unknown"
)

// Reason is why a request was refused, retried or failed. Each reason has a counter.
type Reason string

// Reasons used by this package. SlotSource, Sender and KeyClaimer define their own.
const (
	ReasonDraining       Reason = "Draining"
	ReasonInvalid        Reason = "Invalid"
	ReasonUnknownService Reason = "UnknownService"
	ReasonBodyTooLarge   Reason = "BodyTooLarge"
	ReasonBodyUnreadable Reason = "BodyUnreadable"
	ReasonRequestMemory  Reason = "RequestMemory"
	ReasonDeadline       Reason = "Deadline"
	ReasonCallerGone     Reason = "CallerGone"
	ReasonTruncated      Reason = "Truncated"
	ReasonAlreadyStarted Reason = "AlreadyStarted"
	ReasonNoKeys         Reason = "NoKeys"
	ReasonKeyUncertain   Reason = "KeyUncertain"
	ReasonNoSlot         Reason = "NoSlot"
	ReasonHedge          Reason = "Hedge"
	ReasonRetryBudget    Reason = "RetryBudget"
	ReasonSendFailed     Reason = "SendFailed"
)

// Refusal is the error for a request that was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
	// Facts are the inputs of the decision.
	Facts []Fact
}

// Error returns the reason and the time to wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// SlotRequest describes the slot that an attempt requires.
type SlotRequest struct {
	Service       manifest.ServiceName
	NonIdempotent bool
	Feed          bool
	Deadline      time.Time
	// Immediate forbids waiting for a slot. Hedges set it.
	Immediate bool
	// Exclude lists the executors that the request was already sent to.
	Exclude []membership.InstanceID
}

// SlotRelease is how the use of a slot ended. If ExecutorDone is false, the executor
// may still be working on the request and the slot stays in use until InDoubtUntil.
type SlotRelease struct {
	ExecutorDone bool
	InDoubtUntil time.Time
}

// Slot is the permission to send one request to an executor.
type Slot struct {
	Executor membership.InstanceID
	Address  string
	// OnFirstByte is called at the first byte of a feed. It frees the slot but keeps the
	// connection. It may be nil.
	OnFirstByte func()
	// OnRevoke registers the function to call when a feed must give up its connection within
	// the service's MaxDuration. It may be nil.
	OnRevoke func(end func())
	// Release must be called exactly once.
	Release func(SlotRelease)
}

// SlotSource provides slots. Acquire fails with *Refusal or with the error of ctx.
type SlotSource interface {
	Acquire(ctx context.Context, request SlotRequest) (Slot, error)
}

// Attempt is one request to one executor.
type Attempt struct {
	Address          string
	Request          *http.Request
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
}

// Response is an executor's response. Body returns io.EOF only after a complete response;
// a truncated one fails with another error.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
}

// SendError is a failed attempt. Outcome is NotRun if no byte of the request reached
// the executor or if the executor reported that it did not run the request.
type SendError struct {
	Outcome Outcome
	Reason  Reason
}

// Error returns the outcome and the reason.
func (e *SendError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s)", e.Outcome, e.Reason)
}

// Sender makes one attempt without retries. It fails with *SendError; any other error
// counts as Unknown.
type Sender interface {
	Do(ctx context.Context, attempt Attempt) (*Response, error)
}

// ClaimResult is the result of claiming a key.
type ClaimResult struct {
	// Claimed is true for exactly one claim of a key.
	Claimed bool
	// Reason is why Claimed is false.
	Reason Reason
}

// KeyClaimer claims the keys of non-idempotent requests. Claim fails with *Refusal only
// if this call did not claim the key. After any other error, the key may be claimed.
type KeyClaimer interface {
	Claim(ctx context.Context, service manifest.ServiceName, key string) (ClaimResult, error)
}

// ManifestSource provides the manifest in force.
type ManifestSource interface {
	Current() manifest.Published
}

// Counters adds to named counters.
type Counters interface {
	Add(name string, delta int64)
}

// Fact is one input of a decision.
type Fact struct {
	Name  string
	Value string
}

// Decision is a decision about a request, recorded for the explain interface.
type Decision struct {
	Request  string
	Time     time.Time
	Service  manifest.ServiceName
	Manifest manifest.Version
	Action   string
	Reason   Reason
	Facts    []Fact
}

// Recorder stores decisions for the explain interface. Record must not block.
type Recorder interface {
	Record(decision Decision)
}

// Governor limits retries and hedges, and learns from the results of attempts.
type Governor interface {
	// CreditRetryBudget adds the share of one request to the retry budget of a service.
	CreditRetryBudget(service manifest.Service)
	// AllowExtraAttempt takes one retry or hedge from the retry budget and reports
	// whether there was one.
	AllowExtraAttempt(service manifest.Service) bool
	// HedgeDelay returns the delay before a hedge, or false for no hedge.
	HedgeDelay(service manifest.Service) (time.Duration, bool)
	// Observe records the result of an attempt on an executor.
	Observe(service manifest.Service, executor membership.InstanceID, observation Observation)
}

// Observation is the result of an attempt on an executor.
type Observation struct {
	Duration time.Duration
	Outcome  Outcome
	// Cancelled means that this instance cancelled the attempt, so Duration is only a
	// lower bound of the latency.
	Cancelled bool
	// Timeout is how long the attempt may take before this instance cancels it, 0 for no
	// limit.
	Timeout time.Duration
}
