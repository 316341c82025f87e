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

// Outcome tells a caller what became of its request.
type Outcome string

// Outcomes of a request.
const (
	Completed Outcome = "Completed"
	NotRun    Outcome = "NotRun"
	Unknown   Outcome = "Unknown"
)

// Reason says why a request was refused, retried or lost. Each has a counter.
type Reason string

// Reasons that this package gives. Slot sources, senders and keys add their own.
const (
	ReasonDraining       Reason = "Draining"
	ReasonInvalid        Reason = "Invalid"
	ReasonUnknownService Reason = "UnknownService"
	ReasonBodyTooLarge   Reason = "BodyTooLarge"
	ReasonBodyUnreadable Reason = "BodyUnreadable"
	ReasonDeadline       Reason = "Deadline"
	ReasonCallerGone     Reason = "CallerGone"
	ReasonTruncated      Reason = "Truncated"
	ReasonAlreadyStarted Reason = "AlreadyStarted"
	ReasonNoKeys         Reason = "NoKeys"
	ReasonKeyUncertain   Reason = "KeyUncertain"
	ReasonNoSlot         Reason = "NoSlot"
	ReasonHedge          Reason = "Hedge"
	ReasonBudget         Reason = "RetryBudget"
	ReasonSendFailed     Reason = "SendFailed"
)

// Refusal is the error for a request that was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	// Facts are what the decision is based on.
	Facts []Fact
}

// Error returns the reason and the time to wait.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// Need describes the slot that an attempt requires.
type Need struct {
	Service       manifest.ServiceName
	NonIdempotent bool
	Feed          bool
	Deadline      time.Time
	// Immediate forbids waiting for a slot; hedges use it.
	Immediate bool
	// Exclude lists the executors that the request already went to.
	Exclude []membership.InstanceID
}

// SlotUse says what became of a slot. If Done is false the executor may still be
// working, and the slot counts as used until InDoubtUntil.
type SlotUse struct {
	Done         bool
	InDoubtUntil time.Time
}

// Slot is the right to send one request to an executor.
type Slot struct {
	Executor membership.InstanceID
	Address  string
	// FirstByte returns the slot of a feed and keeps its connection. It may be nil.
	FirstByte func()
	// OnRevoke sets what to call when a feed must give its connection back within the
	// service's MaxDuration. It may be nil.
	OnRevoke func(end func())
	// Release must be called exactly once.
	Release func(SlotUse)
}

// SlotSource lends slots. Acquire fails with *Refusal, or with the error of ctx.
type SlotSource interface {
	Acquire(ctx context.Context, need Need) (Slot, error)
}

// Attempt is one request to one executor.
type Attempt struct {
	Address          string
	Request          *http.Request
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
}

// Response is an executor's answer. Body returns io.EOF only at the answer's
// stated end; an answer that ends early fails with another error.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
}

// SendError classifies a failed attempt. NotRun means that no byte of the
// request reached the executor or that the executor said so.
type SendError struct {
	Class  Outcome
	Reason Reason
}

// Error returns the class and the reason.
func (e *SendError) Error() string {
	return fmt.Sprintf("attempt failed: %s (%s)", e.Class, e.Reason)
}

// Sender makes one attempt and never repeats it. It fails with *SendError; any
// other error counts as Unknown.
type Sender interface {
	Do(ctx context.Context, attempt Attempt) (*Response, error)
}

// Started is the result of claiming a key.
type Started struct {
	// First is true for exactly one claim of a key.
	First bool
	// Reason says why First is false.
	Reason Reason
}

// Keys claims the keys of non-idempotent requests. Begin fails with *Refusal
// only if the key was not claimed by this call. Any other error leaves that open.
type Keys interface {
	Begin(ctx context.Context, service manifest.ServiceName, key string) (Started, error)
}

// ManifestSource returns the manifest in force.
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

// Decision is a record for the explain interface.
type Decision struct {
	Request  string
	Time     time.Time
	Service  manifest.ServiceName
	Manifest manifest.Version
	Action   string
	Reason   Reason
	Facts    []Fact
}

// Recorder keeps decisions for later explanation. Record must not block.
type Recorder interface {
	Record(decision Decision)
}

// Governor bounds retries and hedges and learns from attempts.
type Governor interface {
	// Arrived credits the retry budget of a service with one request.
	Arrived(service manifest.Service)
	// AllowExtra takes one retry or hedge from the budget.
	AllowExtra(service manifest.Service) bool
	// HedgeDelay returns how long to wait before a hedge, and false for no hedge.
	HedgeDelay(service manifest.Service) (time.Duration, bool)
	// Observe reports how an attempt on an executor ended.
	Observe(service manifest.Service, executor membership.InstanceID, seen Observation)
}

// Observation is what an attempt showed about an executor.
type Observation struct {
	Took    time.Duration
	Outcome Outcome
	// Cancelled means that this side gave up, so the executor needs at least Took.
	Cancelled bool
	// Limit is when this side cancels the attempt, 0 for never.
	Limit time.Duration
}
