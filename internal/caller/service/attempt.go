package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// MaxBufferedBytes is how many bytes of a response are buffered before the first byte is sent
// to the caller. A response that is truncated within them can be retried.
const MaxBufferedBytes = 64 << 10

// heldSlot is the slot of one attempt, from sending the request to the end of the
// response.
type heldSlot struct {
	handler  *Handler
	call     *call
	slot     Slot
	ctx      context.Context
	sendTime time.Time
	// timeoutTimer cancels the attempt after MaxDuration. It is nil for feeds.
	timeoutTimer clockwork.Timer
	// observed means that the attempt was reported to the governor.
	observed bool
}

// observe reports the attempt to the governor, once. A feed is reported only if it fails
// before its first byte, since its duration says nothing about the executor.
func (s *heldSlot) observe(outcome Outcome) {
	if s.observed {
		return
	}
	s.observed = true
	s.handler.Governor.Observe(s.call.service, s.slot.Executor, Observation{
		Duration:  s.handler.Clock.Since(s.sendTime),
		Outcome:   outcome,
		Cancelled: s.ctx.Err() != nil,
		Timeout:   s.call.attemptTimeout(),
	})
}

// release releases the slot. The slot stays in doubt if the executor may still be working
// on the request.
func (s *heldSlot) release(outcome Outcome) {
	s.observe(outcome)
	if s.timeoutTimer != nil {
		s.timeoutTimer.Stop()
	}
	s.slot.Release(SlotRelease{
		ExecutorDone: outcome != Unknown,
		InDoubtUntil: s.sendTime.Add(s.call.maxDuration()),
	})
}

// attemptResult is the result of an attempt. If it has a response that is not complete,
// the rest of the body is still to be read and the slot is still held.
type attemptResult struct {
	response *Response
	buffered []byte
	complete bool
	held     *heldSlot
	cancel   context.CancelFunc

	executor   membership.InstanceID
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	facts      []Fact
	// final forbids another attempt.
	final bool
	// statusOverride replaces the HTTP status that follows from the outcome, if it is not
	// 0.
	statusOverride int
}

// discard reads and drops a response that nobody will use, because the slot is freed only
// at the end of the response.
func (r attemptResult) discard() {
	defer r.cancel()
	if r.response == nil || r.complete {
		return
	}
	outcome := Completed
	if _, err := io.Copy(io.Discard, r.response.Body); err != nil {
		outcome = Unknown
	}
	r.finish(outcome)
}

// finish closes the body and releases the slot.
func (r attemptResult) finish(outcome Outcome) {
	// An error of Close doesn't change the outcome of the attempt.
	_ = r.response.Body.Close()
	r.held.release(outcome)
}

// send sends the request to the executor of a slot and reads the start of the response.
func (h *Handler) send(ctx context.Context, c *call, s *heldSlot) attemptResult {
	request, err := newExecutorRequest(ctx, c, s.slot.Address)
	if err != nil {
		s.release(NotRun)
		return attemptResult{executor: s.slot.Executor, outcome: NotRun, reason: ReasonInvalid, final: true}
	}
	response, err := h.Sender.Do(ctx, Attempt{
		Address:          s.slot.Address,
		Request:          request,
		FirstByteTimeout: positiveOr(time.Duration(c.service.FirstByteTimeout), c.maxDuration()),
		IdleTimeout:      positiveOr(time.Duration(c.service.IdleTimeout), c.maxDuration()),
	})
	if err != nil {
		failed := sendFailure(err)
		failed.executor = s.slot.Executor
		s.release(failed.outcome)
		return failed
	}
	result := attemptResult{response: response, held: s, executor: s.slot.Executor, outcome: Completed}
	if c.feed {
		return result.startFeed()
	}
	return result.bufferBody()
}

// startFeed frees the slot of a feed, which keeps only its connection.
func (r attemptResult) startFeed() attemptResult {
	r.held.observed = true
	if r.held.slot.OnFirstByte != nil {
		r.held.slot.OnFirstByte()
	}
	return r
}

// bufferBody reads up to MaxBufferedBytes of the response.
func (r attemptResult) bufferBody() attemptResult {
	body, err := io.ReadAll(io.LimitReader(r.response.Body, MaxBufferedBytes+1))
	if err != nil {
		r.finish(Unknown)
		return attemptResult{executor: r.executor, outcome: Unknown, reason: ReasonTruncated}
	}
	r.buffered = body
	if len(body) <= MaxBufferedBytes {
		r.complete = true
		r.finish(Completed)
	}
	return r
}

// sendFailure converts the error of a Sender into a result. After an error other than
// *SendError, the request may have run.
func sendFailure(err error) attemptResult {
	var failed *SendError
	if !errors.As(err, &failed) {
		return attemptResult{outcome: Unknown, reason: ReasonSendFailed}
	}
	if failed.Outcome != NotRun {
		return attemptResult{outcome: Unknown, reason: failed.Reason}
	}
	return attemptResult{outcome: NotRun, reason: failed.Reason}
}

func newExecutorRequest(ctx context.Context, c *call, address string) (*http.Request, error) {
	target := c.url
	target.Scheme, target.Host = "http", address
	request, err := http.NewRequestWithContext(ctx, c.method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Header = c.header.Clone()
	request.Header.Set(HeaderRequest, c.id)
	if c.key != "" {
		request.Header.Set(HeaderKey, c.key)
	}
	return request, nil
}
