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
	errConnectionCut      = errors.New("executor: response cut off as requested")
	errCallerDisconnected = errors.New("executor: caller disconnected")
)

// copyBufferBytes bounds the size of one write of a body.
const copyBufferBytes = 32 << 10

// response sends the response to one request with the faults that the request asks for.
type response struct {
	executor    *Executor
	httpWriter  http.ResponseWriter
	httpRequest *http.Request
	request     *request
	connection  *connection
}

// simulateWork waits for the run time of a request.
func (e *Executor) simulateWork(duration time.Duration, slowFactor float64) {
	duration = time.Duration(float64(duration) * slowFactor)
	if duration > 0 {
		<-e.clock().After(duration)
	}
}

func (r *response) send() error {
	if err := r.injectFault(); err != nil {
		return err
	}
	behavior := r.request.behavior
	header := r.httpWriter.Header()
	header.Set("Content-Type", "text/plain")
	if r.request.id != "" {
		header.Set(protocol.RequestHeader, r.request.id)
	}
	if behavior.feed {
		return r.sendFeed()
	}
	if !behavior.chunked {
		header.Set("Content-Length", strconv.FormatInt(behavior.size, 10))
	}
	r.httpWriter.WriteHeader(http.StatusOK)
	if behavior.chunked {
		// Without a flush before the body, the server would add a Content-Length to a
		// short body.
		r.flush()
	}
	_, err := io.CopyBuffer(bodyWriter{r}, Content(r.contentSeed(), behavior.size), make([]byte, copyBufferBytes))
	return err
}

func (r *response) contentSeed() string {
	if r.request.behavior.seed != "" {
		return r.request.behavior.seed
	}
	return r.request.id
}

// sendFeed sends a numbered line every interval and an empty line every heartbeat.
func (r *response) sendFeed() error {
	r.executor.releaseSlot(r.request)
	r.httpWriter.WriteHeader(http.StatusOK)
	r.flush()
	clock := r.executor.clock()
	lineTicker := clock.NewTicker(r.request.behavior.interval)
	defer lineTicker.Stop()
	heartbeatTicker := clock.NewTicker(r.request.behavior.heartbeat)
	defer heartbeatTicker.Stop()
	for sent := int64(0); sent != r.request.behavior.lines; {
		line := "\n"
		select {
		case <-r.httpRequest.Context().Done():
			return errCallerDisconnected
		case <-heartbeatTicker.Chan():
		case <-lineTicker.Chan():
			line = fmt.Sprintf("%s %d\n", r.contentSeed(), sent)
			sent++
		}
		if _, err := io.WriteString(bodyWriter{r}, line); err != nil {
			return err
		}
		r.flush()
	}
	return nil
}

func (r *response) flush() {
	// If the flush fails, so does the next write.
	_ = http.NewResponseController(r.httpWriter).Flush()
}

// bodyWriter writes the body up to the byte at which the request asks for a fault.
type bodyWriter struct {
	response *response
}

// Write sends p up to the byte of the next fault, which it then injects.
func (w bodyWriter) Write(p []byte) (int, error) {
	if err := w.response.injectFault(); err != nil {
		return 0, err
	}
	if limit := w.response.nextFaultByte(); limit != never {
		p = p[:min(int64(len(p)), limit-w.response.request.sentBytes)]
	}
	n, err := w.response.writeBody(p)
	if err != nil {
		return n, errCallerDisconnected
	}
	return n, w.response.injectFault()
}

// writeBody sends p. It finishes the request before the last byte of a response with a
// Content-Length: once the receiver has the whole response, it may use the slot again.
func (r *response) writeBody(p []byte) (int, error) {
	if !r.endsBody(p) {
		n, err := r.httpWriter.Write(p)
		r.request.sentBytes += int64(n)
		return n, err
	}
	n, err := r.httpWriter.Write(p[:len(p)-1])
	r.request.sentBytes += int64(n)
	if err != nil {
		return n, err
	}
	r.request.sentBytes++
	r.executor.finish(r.request, "")
	m, err := r.httpWriter.Write(p[len(p)-1:])
	return n + m, err
}

// endsBody reports whether p ends a response that has a Content-Length and isn't cut off.
func (r *response) endsBody(p []byte) bool {
	behavior := r.request.behavior
	return !behavior.feed && !behavior.chunked && len(p) > 0 &&
		r.request.sentBytes+int64(len(p)) == behavior.size && r.nextFaultByte() != behavior.size
}

// nextFaultByte returns the byte of the body at which the next fault occurs, or never.
func (r *response) nextFaultByte() int64 {
	cutAt, silentAt := r.request.behavior.cutAfter, r.request.behavior.silentAfter
	if cutAt == never || silentAt != never && silentAt < cutAt {
		return silentAt
	}
	return cutAt
}

// injectFault injects the fault that is due at the current byte. It returns nil if none is
// due.
func (r *response) injectFault() error {
	behavior := r.request.behavior
	if r.request.sentBytes == behavior.cutAfter {
		r.flushBody()
		return errConnectionCut
	}
	if r.request.sentBytes == behavior.silentAfter || r.executor.isSilent(r.connection) {
		r.flushBody()
		<-r.httpRequest.Context().Done()
		return errCallerDisconnected
	}
	return nil
}

// flushBody sends the bytes written so far. If the fault occurs before the first byte, the
// header isn't sent either.
func (r *response) flushBody() {
	if r.request.sentBytes > 0 {
		r.flush()
	}
}
