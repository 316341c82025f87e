package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// abort closes the caller's connection, so that a truncated response can't look complete.
func (h *Handler) abort(c *call, reason Reason) {
	h.Counters.Add("Service.Aborted."+string(reason), 1)
	h.record(c, "Aborted", reason)
	panic(http.ErrAbortHandler)
}

// writeHeader writes the status and the headers of an executor's response.
func writeHeader(w http.ResponseWriter, response *Response) {
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	header.Set(HeaderOutcome, string(Completed))
	w.WriteHeader(response.StatusCode)
}

// writeResponse writes a response to the caller. Writes to a slow caller end at the
// deadline.
func (h *Handler) writeResponse(ctx context.Context, c *call, w http.ResponseWriter, result attemptResult) {
	if result.complete && len(result.buffered) > 0 {
		result.response.Header = withContentLength(result.response.Header, len(result.buffered))
	}
	defer limitWriteTime(ctx, w)()
	writeHeader(w, result.response)
	_, err := w.Write(result.buffered)
	if result.complete {
		result.cancel()
		h.finishDelivery(c, err)
		return
	}
	h.copyRemainder(ctx, c, w, result, err)
}

// limitWriteTime makes writes fail once ctx is done. The function that it returns removes
// the limit: without a write timeout, an http.Server doesn't reset the write deadline for
// the next request on the connection.
func limitWriteTime(ctx context.Context, w http.ResponseWriter) (clearLimit func()) {
	control := http.NewResponseController(w)
	deadlineSet := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(deadlineSet)
		// A writer without deadline support, as in tests, can't interrupt the write.
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	})
	return func() {
		if stop() {
			return
		}
		<-deadlineSet
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// finishDelivery counts a complete response, or aborts if writing it has failed.
func (h *Handler) finishDelivery(c *call, err error) {
	if err != nil {
		h.abort(c, ReasonCallerGone)
	}
	h.Counters.Add("Service.Completed", 1)
}

// copyRemainder forwards the part of a response that exceeds the buffer. If the caller
// has disconnected or its deadline has passed, the rest is read and dropped, because the
// slot is freed only at the end of the response.
func (h *Handler) copyRemainder(ctx context.Context, c *call, w io.Writer, result attemptResult, err error) {
	writer := &detachableWriter{writer: w, detached: err != nil}
	copied := make(chan error, 1)
	h.inFlight.goTracked(func() {
		defer result.cancel()
		_, err := io.Copy(writer, result.response.Body)
		if err != nil {
			result.cancel()
			result.finish(Unknown)
		} else {
			result.finish(Completed)
		}
		copied <- err
	})
	select {
	case err = <-copied:
	case <-ctx.Done():
		writer.detach()
		h.abort(c, contextReason(ctx))
	}
	switch {
	case err != nil:
		h.abort(c, ReasonTruncated)
	case writer.detach():
		h.abort(c, ReasonCallerGone)
	}
	h.Counters.Add("Service.Completed", 1)
}

// detachableWriter forwards writes until it is detached or a write fails, and then drops
// them.
type detachableWriter struct {
	mutex    sync.Mutex
	writer   io.Writer
	detached bool
}

// Write never fails: a failed write detaches the writer.
func (d *detachableWriter) Write(p []byte) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.detached {
		return len(p), nil
	}
	if _, err := d.writer.Write(p); err != nil {
		d.detached = true
	}
	return len(p), nil
}

// detach stops forwarding and reports whether the writer was already detached.
func (d *detachableWriter) detach() (wasDetached bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	wasDetached = d.detached
	d.detached = true
	return wasDetached
}

func withContentLength(header http.Header, length int) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	out.Set("Content-Length", strconv.Itoa(length))
	return out
}
