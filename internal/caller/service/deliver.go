package service

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// abort closes the caller's connection, so that the answer can't look complete.
func (h *Handler) abort(c *call, reason Reason) {
	h.Counters.Add("service.aborted."+string(reason), 1)
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

// deliver sends an answer. The deadline also ends reads of the rest and writes to
// a slow caller.
func (h *Handler) deliver(ctx context.Context, c *call, w http.ResponseWriter, won result) {
	defer won.cancel()
	if won.whole && len(won.prefix) > 0 {
		won.response.Header = withLength(won.response.Header, len(won.prefix))
	}
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		won.cancel()
		// Writers without deadlines, as in tests, leave the write to its own end.
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	})
	defer stop()
	writeHead(w, won.response)
	_, err := w.Write(won.prefix)
	if won.whole {
		h.delivered(c, err)
		return
	}
	h.deliverRest(c, w, won, err)
}

func (h *Handler) delivered(c *call, err error) {
	if err != nil {
		h.abort(c, ReasonCallerGone)
	}
	h.Counters.Add("service.completed", 1)
}

// deliverRest passes on what is longer than the buffer.
func (h *Handler) deliverRest(c *call, w io.Writer, won result, err error) {
	rest := &source{reader: won.response.Body}
	if err == nil {
		_, err = io.Copy(w, rest)
	}
	if err == nil {
		won.close(Completed)
		h.Counters.Add("service.completed", 1)
		return
	}
	won.cancel()
	won.close(Unknown)
	if rest.failed {
		h.abort(c, ReasonTruncated)
	}
	h.abort(c, ReasonCallerGone)
}

// source tells a failed read from a failed write.
type source struct {
	reader io.Reader
	failed bool
}

// Read reads from the executor.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	s.failed = err != nil && err != io.EOF
	return n, err
}

func withLength(header http.Header, length int) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	out.Set("Content-Length", strconv.Itoa(length))
	return out
}
