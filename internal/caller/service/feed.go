package service

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// DefaultMaxFeedDuration applies to services that set no MaxFeedDuration.
const DefaultMaxFeedDuration = 10 * time.Minute

// feedBufferSize is the size of the copy buffer in bytes.
const feedBufferSize = 16 << 10

// feedTerminator ends a feed that has reached its maximum duration: after the current
// line, or after a grace period if the line doesn't end.
type feedTerminator struct {
	mutex     sync.Mutex
	cancel    func()
	atLineEnd bool
	expired   bool
}

// expire is called at the maximum duration. It cancels the feed if no line is in
// progress.
func (t *feedTerminator) expire() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expired = true
	if t.atLineEnd {
		t.cancel()
	}
}

// forwarded records a forwarded chunk and reports whether the feed has to end after it.
func (t *feedTerminator) forwarded(chunk []byte) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(chunk) > 0 {
		t.atLineEnd = chunk[len(chunk)-1] == '\n'
	}
	return t.expired && t.atLineEnd
}

func (t *feedTerminator) isExpired() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.expired
}

// streamFeed forwards a feed until the executor ends it or its maximum duration is
// reached. Both end the response cleanly. If the feed fails, the connection is aborted.
func (h *Handler) streamFeed(c *call, w http.ResponseWriter, result attemptResult) {
	defer result.cancel()
	terminator := &feedTerminator{cancel: result.cancel, atLineEnd: true}
	limit := positiveOr(time.Duration(c.service.MaxFeedDuration), DefaultMaxFeedDuration)
	grace := positiveOr(time.Duration(c.service.IdleTimeout), c.maxDuration())
	forceEnd := func() {
		result.cancel()
		// Interrupts a write to a caller that has stopped reading.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	}
	expiryTimer := h.Clock.AfterFunc(limit, terminator.expire)
	defer expiryTimer.Stop()
	forceTimer := h.Clock.AfterFunc(limit+grace, forceEnd)
	defer forceTimer.Stop()
	if result.held.slot.OnRevoke != nil {
		result.held.slot.OnRevoke(func() {
			terminator.expire()
			forceTimer.Reset(min(grace, c.maxDuration()/2))
		})
	}
	h.Counters.Add("Service.FeedsOpen", 1)
	defer h.Counters.Add("Service.FeedsOpen", -1)
	writeHeader(w, result.response)
	err := copyFeed(w, result.response.Body, terminator)
	switch {
	case err == nil && !terminator.isExpired():
		result.finish(Completed)
	case err == nil || terminator.isExpired():
		result.cancel()
		result.finish(Unknown)
		h.record(c, "FeedEnded", "MaxFeedDuration", Fact{Name: "MaxFeedDuration", Value: limit.String()})
	default:
		result.cancel()
		result.finish(Unknown)
		h.abort(c, ReasonTruncated)
	}
}

// copyFeed copies a feed and flushes each chunk. It returns nil at a clean end.
func copyFeed(w http.ResponseWriter, body io.Reader, terminator *feedTerminator) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, feedBufferSize)
	for {
		if err := control.Flush(); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return writeErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case terminator.forwarded(buffer[:n]):
			return nil
		}
	}
}
