package service

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// Headers of service requests and their answers.
const (
	HeaderTimeout       = "Jacinthtrail-Timeout"
	HeaderNonIdempotent = "Jacinthtrail-Non-Idempotent"
	HeaderKey           = "Jacinthtrail-Key"
	HeaderFeed          = "Jacinthtrail-Feed"
	HeaderOutcome       = "Jacinthtrail-Outcome"
	HeaderReason        = "Jacinthtrail-Reason"
	HeaderRetryAfter    = "Jacinthtrail-Retry-After"
	HeaderRequest       = "Jacinthtrail-Request"
)

// Limits on the input of a request.
const (
	// MaxKeyLength is the longest key in bytes.
	MaxKeyLength = 128
	// DefaultMaxBody bounds the body in bytes for services that state no limit.
	DefaultMaxBody = 1 << 20
	// DefaultMaxDuration bounds requests of services that state no limit.
	DefaultMaxDuration = 30 * time.Second
)

const (
	pathPrefix   = "/services/"
	headerPrefix = "Jacinthtrail-"
)

// Finding is one fault of a request, with its place and a way to fix it.
type Finding struct {
	Place   string
	Problem string
	Fix     string
}

// ErrorBody is the JSON body of an answer that did not come from an executor.
type ErrorBody struct {
	Findings []Finding
}

// call is a checked request.
type call struct {
	id            string
	service       manifest.Service
	version       manifest.Version
	timeout       time.Duration
	deadline      time.Time
	nonIdempotent bool
	feed          bool
	key           string
	method        string
	url           url.URL
	header        http.Header
	body          []byte
}

func (c *call) maxDuration() time.Duration {
	return positiveOr(time.Duration(c.service.MaxDuration), DefaultMaxDuration)
}

// attemptLimit returns when an attempt is cancelled, 0 for feeds, which have no limit.
func (c *call) attemptLimit() time.Duration {
	if c.feed {
		return 0
	}
	return c.maxDuration()
}

func positiveOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// headerReader collects the findings of all headers.
type headerReader struct {
	header   http.Header
	findings []Finding
}

func (h *headerReader) add(name, problem, fix string) {
	h.findings = append(h.findings, Finding{Place: "header " + name, Problem: problem, Fix: fix})
}

func (h *headerReader) single(name string) (string, bool) {
	values := h.header.Values(name)
	if len(values) > 1 {
		h.add(name, fmt.Sprintf("is given %d times", len(values)), "send it once")
	}
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

func (h *headerReader) flag(name string) bool {
	value, ok := h.single(name)
	if ok && value != "true" {
		h.add(name, fmt.Sprintf("%q is not allowed", value), "send \"true\" or leave the header out")
	}
	return ok && value == "true"
}

func (h *headerReader) timeout() time.Duration {
	value, ok := h.single(HeaderTimeout)
	if !ok {
		return 0
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		h.add(HeaderTimeout, fmt.Sprintf("%q is not a positive duration", value), "send a Go duration such as \"1.5s\"")
		return 0
	}
	return timeout
}

func (h *headerReader) key() string {
	value, ok := h.single(HeaderKey)
	if !ok {
		return ""
	}
	if value == "" || len(value) > MaxKeyLength {
		h.add(HeaderKey, fmt.Sprintf("has %d bytes", len(value)), fmt.Sprintf("send 1 to %d bytes", MaxKeyLength))
	}
	if strings.IndexFunc(value, isForbiddenInKey) >= 0 {
		h.add(HeaderKey, "has a character that is not allowed", "use letters, digits and -._: (tickets also have /)")
	}
	return value
}

func isForbiddenInKey(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-._:/", r)
}

func (h *headerReader) unknown() {
	known := map[string]bool{HeaderTimeout: true, HeaderNonIdempotent: true, HeaderKey: true, HeaderFeed: true}
	var names []string
	for name := range h.header {
		if strings.HasPrefix(name, headerPrefix) && !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		h.add(name, "is not a header of service requests", "leave it out or correct its name")
	}
}

// checkProtocol refuses HTTP/1.0, in which an answer without a length ends with its
// connection, so that one which was cut off looks complete.
func checkProtocol(r *http.Request) []Finding {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	return []Finding{{Place: "protocol", Problem: r.Proto + " can't tell a whole answer from one that was cut off", Fix: "use HTTP/1.1"}}
}

// checkHeaders fills the call from the headers and returns every fault.
func checkHeaders(c *call, header http.Header) []Finding {
	reader := headerReader{header: header}
	c.timeout = reader.timeout()
	c.nonIdempotent = reader.flag(HeaderNonIdempotent)
	c.feed = reader.flag(HeaderFeed)
	c.key = reader.key()
	reader.unknown()
	if c.feed && c.nonIdempotent {
		reader.add(HeaderFeed, "can't be combined with "+HeaderNonIdempotent, "leave one of them out")
	}
	if c.key != "" && !c.nonIdempotent {
		reader.add(HeaderKey, "needs "+HeaderNonIdempotent, "mark the request as non-idempotent or leave the key out")
	}
	return reader.findings
}

// splitPath divides /services/<service>/<path>.
func splitPath(path string) (manifest.ServiceName, string, bool) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return "", "", false
	}
	name, inner, _ := strings.Cut(rest, "/")
	return manifest.ServiceName(name), "/" + inner, name != ""
}

// rawPath returns the inner path as the caller encoded it, empty if the default
// encoding is right.
func rawPath(u *url.URL) string {
	if u.RawPath == "" {
		return ""
	}
	_, inner, _ := splitPath(u.RawPath)
	return inner
}

func findService(m manifest.Manifest, name manifest.ServiceName) (manifest.Service, bool) {
	for _, s := range m.Services {
		if s.Name == name {
			return s, true
		}
	}
	return manifest.Service{}, false
}

// readBody reads the whole body, so that it can be sent again.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, Reason) {
	if limit <= 0 {
		limit = DefaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, ReasonBodyTooLarge
	case err != nil:
		return nil, ReasonBodyUnreadable
	}
	return body, ""
}

// hopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd copies the headers that are meant for the other end.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}
