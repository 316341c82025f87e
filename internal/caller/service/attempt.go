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

// MaxBuffered is how many bytes of an answer are read before the first byte goes
// to the caller. Answers that end early within it can be retried.
const MaxBuffered = 64 << 10

// held is a slot in use by one attempt.
type held struct {
	handler *Handler
	call    *call
	slot    Slot
	ctx     context.Context
	start   time.Time
	// limit cancels the attempt after MaxDuration; it is nil for feeds.
	limit clockwork.Timer
	// observed means that the governor knows of the attempt.
	observed bool
}

// observe reports the attempt to the governor once. A feed is reported only if it
// fails before its first byte, since its length says nothing about the executor.
func (s *held) observe(outcome Outcome) {
	if s.observed {
		return
	}
	s.observed = true
	s.handler.Governor.Observe(s.call.service, s.slot.Executor, Observation{
		Took:      s.handler.Clock.Since(s.start),
		Outcome:   outcome,
		Cancelled: s.ctx.Err() != nil,
		Limit:     s.call.attemptLimit(),
	})
}

// finish releases the slot. Only an executor that is known to be done frees it.
func (s *held) finish(outcome Outcome) {
	s.observe(outcome)
	if s.limit != nil {
		s.limit.Stop()
	}
	s.slot.Release(SlotUse{
		Done:         outcome != Unknown,
		InDoubtUntil: s.start.Add(s.call.maxDuration()),
	})
}

// result is how an attempt ended. An answer has a response; if it is not whole,
// the rest of its body is still to be read and the slot is still held.
type result struct {
	response *Response
	prefix   []byte
	whole    bool
	held     *held
	cancel   context.CancelFunc

	executor   membership.InstanceID
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	facts      []Fact
	// final forbids another attempt.
	final bool
	// status replaces the status that follows from the outcome.
	status int
}

// discard drops an answer that nobody will read. It reads the rest, because the
// end of the answer frees the slot.
func (r result) discard() {
	defer r.cancel()
	if r.response == nil || r.whole {
		return
	}
	outcome := Completed
	if _, err := io.Copy(io.Discard, r.response.Body); err != nil {
		outcome = Unknown
	}
	r.close(outcome)
}

func (r result) close(outcome Outcome) {
	// The attempt is over in any case; its outcome is what counts.
	_ = r.response.Body.Close()
	r.held.finish(outcome)
}

// send makes one attempt with a slot and reads the start of the answer.
func (h *Handler) send(ctx context.Context, c *call, s *held) result {
	request, err := newRequest(ctx, c, s.slot.Address)
	if err != nil {
		s.finish(NotRun)
		return result{executor: s.slot.Executor, outcome: NotRun, reason: ReasonInvalid, final: true}
	}
	response, err := h.Sender.Do(ctx, Attempt{
		Address:          s.slot.Address,
		Request:          request,
		FirstByteTimeout: positiveOr(time.Duration(c.service.FirstByteTimeout), c.maxDuration()),
		IdleTimeout:      positiveOr(time.Duration(c.service.IdleTimeout), c.maxDuration()),
	})
	if err != nil {
		failed := classify(err)
		failed.executor = s.slot.Executor
		s.finish(failed.outcome)
		return failed
	}
	answer := result{response: response, held: s, executor: s.slot.Executor, outcome: Completed}
	if c.feed {
		return answer.startFeed()
	}
	return answer.buffer()
}

// startFeed returns the slot of a feed; its connection stays in use.
func (r result) startFeed() result {
	r.held.observed = true
	if r.held.slot.FirstByte != nil {
		r.held.slot.FirstByte()
	}
	return r
}

// buffer reads up to MaxBuffered bytes of the answer.
func (r result) buffer() result {
	prefix, err := io.ReadAll(io.LimitReader(r.response.Body, MaxBuffered+1))
	if err != nil {
		r.close(Unknown)
		return result{executor: r.executor, outcome: Unknown, reason: ReasonTruncated}
	}
	r.prefix = prefix
	if len(prefix) <= MaxBuffered {
		r.whole = true
		r.close(Completed)
	}
	return r
}

// classify turns the error of a Sender into a result. Unclassified errors leave
// open whether the request ran.
func classify(err error) result {
	var failed *SendError
	if !errors.As(err, &failed) {
		return result{outcome: Unknown, reason: ReasonSendFailed}
	}
	if failed.Class != NotRun {
		return result{outcome: Unknown, reason: failed.Reason}
	}
	return result{outcome: NotRun, reason: failed.Reason}
}

func newRequest(ctx context.Context, c *call, address string) (*http.Request, error) {
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
