package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// abort closes the caller's connection, so that the answer can't look complete.
func (h *Handler) abort(c *call, reason Reason) {
	h.Counters.Add("Service.Aborted."+string(reason), 1)
	h.record(c, "Aborted", reason)
	panic(http.ErrAbortHandler)
}

// writeHead sends the status and headers of an executor's answer.
func writeHead(w http.ResponseWriter, response *Response) {
	header := w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	header.Set(HeaderOutcome, string(Completed))
	w.WriteHeader(response.StatusCode)
}

// deliver sends an answer. The deadline also ends writes to a slow caller.
func (h *Handler) deliver(ctx context.Context, c *call, w http.ResponseWriter, won result) {
	if won.whole && len(won.prefix) > 0 {
		won.response.Header = withLength(won.response.Header, len(won.prefix))
	}
	defer limitWrites(ctx, w)()
	writeHead(w, won.response)
	_, err := w.Write(won.prefix)
	if won.whole {
		won.cancel()
		h.delivered(c, err)
		return
	}
	h.deliverRest(ctx, c, w, won, err)
}

// limitWrites ends writes when ctx does. The function that it returns lifts the limit,
// because a server without a write timeout keeps a deadline for the next request on
// the connection.
func limitWrites(ctx context.Context, w http.ResponseWriter) (lift func()) {
	control := http.NewResponseController(w)
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(limited)
		// Writers without deadlines, as in tests, leave the write to its own end.
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	})
	return func() {
		if stop() {
			return
		}
		<-limited
		_ = control.SetWriteDeadline(time.Time{})
	}
}

func (h *Handler) delivered(c *call, err error) {
	if err != nil {
		h.abort(c, ReasonCallerGone)
	}
	h.Counters.Add("Service.Completed", 1)
}

// deliverRest passes on what is longer than the buffer. When the caller has left or
// its deadline is over, the rest is read to its end without it, because only an
// executor that is known to be done frees its slot.
func (h *Handler) deliverRest(ctx context.Context, c *call, w io.Writer, won result, err error) {
	caller := &detachable{writer: w, gone: err != nil}
	copied := make(chan error, 1)
	h.flights.run(func() {
		defer won.cancel()
		_, err := io.Copy(caller, won.response.Body)
		if err != nil {
			won.cancel()
			won.close(Unknown)
		} else {
			won.close(Completed)
		}
		copied <- err
	})
	select {
	case err = <-copied:
	case <-ctx.Done():
		caller.detach()
		h.abort(c, waitReason(ctx))
	}
	switch {
	case err != nil:
		h.abort(c, ReasonTruncated)
	case caller.detach():
		h.abort(c, ReasonCallerGone)
	}
	h.Counters.Add("Service.Completed", 1)
}

// detachable passes on what is written until the caller is gone, and drops the rest.
type detachable struct {
	mutex  sync.Mutex
	writer io.Writer
	gone   bool
}

// Write never fails: a caller that can't be written to is gone.
func (d *detachable) Write(p []byte) (int, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.gone {
		return len(p), nil
	}
	if _, err := d.writer.Write(p); err != nil {
		d.gone = true
	}
	return len(p), nil
}

// detach ends the use of the writer and reports whether the caller was gone before.
func (d *detachable) detach() (wasGone bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	wasGone = d.gone
	d.gone = true
	return wasGone
}

func withLength(header http.Header, length int) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	out.Set("Content-Length", strconv.Itoa(length))
	return out
}
