package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded. Expect is among them
// because the server that received the caller's request has already handled it.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHopHeaders returns a copy of the header without its hop-by-hop headers.
func withoutHopHeaders(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// newOutgoingRequest returns the request to send to the executor at address. It has the
// path, query, host, end-to-end headers and body of the incoming request.
func newOutgoingRequest(ctx context.Context, incoming *http.Request, address string) (*http.Request, *requestBody) {
	body := &requestBody{source: incoming.Body}
	outgoing := &http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Scheme: "http", Host: address,
			Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
		},
		Header:        withoutHopHeaders(incoming.Header),
		Host:          incoming.Host,
		ContentLength: incoming.ContentLength,
		Body:          body,
	}
	if incoming.Body == nil || incoming.Body == http.NoBody {
		outgoing.ContentLength = 0
		if !mayBeResent(outgoing) {
			outgoing.Body = http.NoBody
		}
	}
	if _, ok := outgoing.Header["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		outgoing.Header.Set("User-Agent", "")
	}
	return outgoing.WithContext(ctx), body
}

// mayBeResent reports whether http.Transport would resend a request without a body
// after the executor closed the reused connection that carried it. Such a request is
// given an empty body that the transport can't rewind, which prevents the resend: each
// attempt must be sent only once, because retries are limited by the retry budget.
func mayBeResent(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// requestBody forwards a request body and keeps its read error, which distinguishes
// failures of the caller from failures of the executor.
type requestBody struct {
	source io.ReadCloser

	mu  sync.Mutex
	err error
}

// Read reads from the caller's body.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// Close closes the caller's body.
func (b *requestBody) Close() error {
	if b.source == nil {
		return nil
	}
	return b.source.Close()
}

func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
