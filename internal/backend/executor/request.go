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

// hopHeaders concern one connection only and are not passed on. Expect is among
// them because the receiver of the caller's request has answered it.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHopHeaders returns a copy of the header without those of one connection.
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

// outgoing builds the request to the executor at address. It keeps the path, query,
// host, header and body of in.
func outgoing(ctx context.Context, in *http.Request, address string) (*http.Request, *requestBody) {
	body := &requestBody{source: in.Body}
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme: "http", Host: address,
			Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery,
		},
		Header:        withoutHopHeaders(in.Header),
		Host:          in.Host,
		ContentLength: in.ContentLength,
		Body:          body,
	}
	if in.Body == nil || in.Body == http.NoBody {
		out.ContentLength = 0
		if !isResendable(out) {
			out.Body = http.NoBody
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// The transport would add its own.
		out.Header.Set("User-Agent", "")
	}
	return out.WithContext(ctx), body
}

// isResendable reports whether http.Transport would send a request without a body
// again after the executor closed a reused connection on it. Such a request gets a
// body that the transport can't rewind, which is empty: the attempt must be the
// only one, and retries belong to the retry budget.
func isResendable(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != ""
}

// requestBody passes a body on and keeps the error of reading it, which tells a
// fault of the caller from one of the executor.
type requestBody struct {
	source io.ReadCloser

	mu  sync.Mutex
	err error
}

// Read reads from the caller.
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

func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
