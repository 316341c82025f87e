package executor

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
)

var (
	errDied       = errors.New("executor: the answer was cut off")
	errCallerLeft = errors.New("executor: the caller left")
)

// writeBytes is the size of one write of a body.
const writeBytes = 32 << 10

// answer sends the answer of one request with the cuts that it asks for.
type answer struct {
	executor   *Executor
	out        http.ResponseWriter
	in         *http.Request
	request    *request
	connection *connection
}

// work passes the run time of a request.
func (e *Executor) work(duration time.Duration, slowFactor float64) {
	duration = time.Duration(float64(duration) * slowFactor)
	if duration > 0 {
		<-e.clock().After(duration)
	}
}

func (a *answer) send() error {
	if err := a.cut(); err != nil {
		return err
	}
	asked := a.request.behavior
	header := a.out.Header()
	header.Set("Content-Type", "text/plain")
	if a.request.id != "" {
		header.Set(protocol.RequestHeader, a.request.id)
	}
	if asked.feed {
		return a.sendFeed()
	}
	if !asked.chunked {
		header.Set("Content-Length", strconv.FormatInt(asked.size, 10))
	}
	a.out.WriteHeader(http.StatusOK)
	if asked.chunked {
		// A flush before the body keeps the server from adding a length to a short one.
		a.flush()
	}
	_, err := io.CopyBuffer(writer{a}, Content(a.seed(), asked.size), make([]byte, writeBytes))
	return err
}

func (a *answer) seed() string {
	if a.request.behavior.seed != "" {
		return a.request.behavior.seed
	}
	return a.request.id
}

// sendFeed sends a numbered line each interval and an empty line each heartbeat.
func (a *answer) sendFeed() error {
	a.executor.releaseSlot(a.request)
	a.out.WriteHeader(http.StatusOK)
	a.flush()
	clock := a.executor.clock()
	lines := clock.NewTicker(a.request.behavior.interval)
	defer lines.Stop()
	heartbeats := clock.NewTicker(a.request.behavior.heartbeat)
	defer heartbeats.Stop()
	for sent := int64(0); sent != a.request.behavior.lines; {
		line := "\n"
		select {
		case <-a.in.Context().Done():
			return errCallerLeft
		case <-heartbeats.Chan():
		case <-lines.Chan():
			line = fmt.Sprintf("%s %d\n", a.seed(), sent)
			sent++
		}
		if _, err := io.WriteString(writer{a}, line); err != nil {
			return err
		}
		a.flush()
	}
	return nil
}

func (a *answer) flush() {
	// A failed flush shows in the next write.
	_ = http.NewResponseController(a.out).Flush()
}

// writer sends the body up to where the request asks for a cut.
type writer struct {
	answer *answer
}

// Write sends p up to the next cut, which it then carries out.
func (w writer) Write(p []byte) (int, error) {
	if err := w.answer.cut(); err != nil {
		return 0, err
	}
	if limit := w.answer.limit(); limit != never {
		p = p[:min(int64(len(p)), limit-w.answer.request.sent)]
	}
	n, err := w.answer.write(p)
	if err != nil {
		return n, errCallerLeft
	}
	return n, w.answer.cut()
}

// write sends p. Before the last byte of an answer with a length, the request
// leaves: once the receiver has the whole answer it may use the slot again.
func (a *answer) write(p []byte) (int, error) {
	if !a.isLast(p) {
		n, err := a.out.Write(p)
		a.request.sent += int64(n)
		return n, err
	}
	n, err := a.out.Write(p[:len(p)-1])
	a.request.sent += int64(n)
	if err != nil {
		return n, err
	}
	a.request.sent++
	a.executor.leave(a.request, "")
	m, err := a.out.Write(p[len(p)-1:])
	return n + m, err
}

// isLast reports whether p ends an answer that has a length and is not cut.
func (a *answer) isLast(p []byte) bool {
	asked := a.request.behavior
	return !asked.feed && !asked.chunked && len(p) > 0 &&
		a.request.sent+int64(len(p)) == asked.size && a.limit() != asked.size
}

// limit is the byte at which the next cut takes place, or never.
func (a *answer) limit() int64 {
	die, silent := a.request.behavior.dieAfter, a.request.behavior.silentAfter
	if die == never || silent != never && silent < die {
		return silent
	}
	return die
}

// cut carries out the cut that is due at the present byte. It returns nil if none is.
func (a *answer) cut() error {
	asked := a.request.behavior
	if a.request.sent == asked.dieAfter {
		a.flushBody()
		return errDied
	}
	if a.request.sent == asked.silentAfter || a.executor.isSilent(a.connection) {
		a.flushBody()
		<-a.in.Context().Done()
		return errCallerLeft
	}
	return nil
}

// flushBody sends what was written. Nothing was if the cut comes before the header.
func (a *answer) flushBody() {
	if a.request.sent > 0 {
		a.flush()
	}
}
