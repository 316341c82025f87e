package service

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// DefaultMaxFeedDuration bounds feeds of services that state no bound.
const DefaultMaxFeedDuration = 10 * time.Minute

const feedChunk = 16 << 10

// feedEnd decides when a feed that reached its maximum duration ends: after the
// line in progress, or after a grace period if that line does not end.
type feedEnd struct {
	mutex   sync.Mutex
	cancel  func()
	between bool
	expired bool
}

// expire is called at the maximum duration.
func (e *feedEnd) expire() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expired = true
	if e.between {
		e.cancel()
	}
}

// passed notes what was passed on and reports whether the feed is over.
func (e *feedEnd) passed(chunk []byte) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(chunk) > 0 {
		e.between = chunk[len(chunk)-1] == '\n'
	}
	return e.expired && e.between
}

func (e *feedEnd) isExpired() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.expired
}

// stream passes a feed on until the executor ends it or its maximum duration is
// reached. Both end it cleanly; a feed that breaks aborts the connection.
func (h *Handler) stream(c *call, w http.ResponseWriter, won result) {
	defer won.cancel()
	end := &feedEnd{cancel: won.cancel, between: true}
	limit := positiveOr(time.Duration(c.service.MaxFeedDuration), DefaultMaxFeedDuration)
	grace := positiveOr(time.Duration(c.service.IdleTimeout), c.maxDuration())
	force := func() {
		won.cancel()
		// Also ends a write to a caller that stopped reading.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	}
	expiry := h.Clock.AfterFunc(limit, end.expire)
	defer expiry.Stop()
	forced := h.Clock.AfterFunc(limit+grace, force)
	defer forced.Stop()
	if won.held.slot.OnRevoke != nil {
		won.held.slot.OnRevoke(func() {
			end.expire()
			forced.Reset(min(grace, c.maxDuration()/2))
		})
	}
	h.Counters.Add("Service.FeedsOpen", 1)
	defer h.Counters.Add("Service.FeedsOpen", -1)
	writeHead(w, won.response)
	err := pass(w, won.response.Body, end)
	switch {
	case err == nil && !end.isExpired():
		won.close(Completed)
	case err == nil || end.isExpired():
		won.cancel()
		won.close(Unknown)
		h.record(c, "FeedEnded", "MaxFeedDuration", Fact{Name: "MaxFeedDuration", Value: limit.String()})
	default:
		won.cancel()
		won.close(Unknown)
		h.abort(c, ReasonTruncated)
	}
}

// pass copies a feed and flushes each part. It returns nil at the clean end.
func pass(w http.ResponseWriter, body io.Reader, end *feedEnd) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, feedChunk)
	for {
		if err := control.Flush(); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if _, failed := w.Write(buffer[:n]); failed != nil {
			return failed
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case end.passed(buffer[:n]):
			return nil
		}
	}
}
