package service

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// Headers of service requests and their responses.
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
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 128
	// DefaultMaxBody is the maximum body size in bytes for services that set none.
	DefaultMaxBody = 1 << 20
	// DefaultMaxDuration is the maximum duration of a request for services that set none.
	DefaultMaxDuration = 30 * time.Second
)

const (
	pathPrefix   = "/services/"
	headerPrefix = "Jacinthtrail-"
)

// Finding is one error in a request, with its place and how to fix it.
type Finding struct {
	Place   string
	Problem string
	Fix     string
}

// ErrorBody is the JSON body of a response that does not come from an executor.
type ErrorBody struct {
	Findings []Finding
}

// call is a validated service request.
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

// attemptTimeout returns how long an attempt may take before it is cancelled. It returns
// 0 for feeds, whose duration streamFeed limits instead.
func (c *call) attemptTimeout() time.Duration {
	if c.feed {
		return 0
	}
	return c.maxDuration()
}

// positiveOr returns d if it is positive, or else fallback.
func positiveOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// headerParser parses headers and collects the errors in all of them.
type headerParser struct {
	header   http.Header
	findings []Finding
}

func (h *headerParser) addFinding(name, problem, fix string) {
	h.findings = append(h.findings, Finding{Place: "header " + name, Problem: problem, Fix: fix})
}

// singleValue returns the value of a header that is present exactly once.
func (h *headerParser) singleValue(name string) (string, bool) {
	values := h.header.Values(name)
	if len(values) > 1 {
		h.addFinding(name, fmt.Sprintf("is given %d times", len(values)), "send it once")
	}
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// boolean parses a header whose only allowed value is "true".
func (h *headerParser) boolean(name string) bool {
	value, ok := h.singleValue(name)
	if ok && value != "true" {
		h.addFinding(name, fmt.Sprintf("%q is not allowed", value), "send \"true\" or leave the header out")
	}
	return ok && value == "true"
}

func (h *headerParser) timeout() time.Duration {
	value, ok := h.singleValue(HeaderTimeout)
	if !ok {
		return 0
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		h.addFinding(HeaderTimeout, fmt.Sprintf("%q is not a positive duration", value), "send a Go duration such as \"1.5s\"")
		return 0
	}
	return timeout
}

func (h *headerParser) key() string {
	value, ok := h.singleValue(HeaderKey)
	if !ok {
		return ""
	}
	if value == "" || len(value) > MaxKeyLength {
		h.addFinding(HeaderKey, fmt.Sprintf("has %d bytes", len(value)), fmt.Sprintf("send 1 to %d bytes", MaxKeyLength))
	}
	if strings.IndexFunc(value, isInvalidKeyRune) >= 0 {
		h.addFinding(HeaderKey, "has a character that is not allowed", "use letters, digits and -._: (tickets also have /)")
	}
	return value
}

func isInvalidKeyRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-._:/", r)
}

// rejectUnknown reports headers with this system's prefix that service requests don't
// have.
func (h *headerParser) rejectUnknown() {
	known := map[string]bool{HeaderTimeout: true, HeaderNonIdempotent: true, HeaderKey: true, HeaderFeed: true}
	var names []string
	for name := range h.header {
		if strings.HasPrefix(name, headerPrefix) && !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		h.addFinding(name, "is not a header of service requests", "leave it out or correct its name")
	}
}

// checkProtocol rejects HTTP/1.0. There, a response without a length ends with its
// connection, so a truncated response looks complete.
func checkProtocol(r *http.Request) []Finding {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}
	return []Finding{{Place: "protocol", Problem: r.Proto + " can't tell a whole answer from one that was cut off", Fix: "use HTTP/1.1"}}
}

// checkHeaders fills the call from the headers and returns all errors in them.
func checkHeaders(c *call, header http.Header) []Finding {
	parser := headerParser{header: header}
	c.timeout = parser.timeout()
	c.nonIdempotent = parser.boolean(HeaderNonIdempotent)
	c.feed = parser.boolean(HeaderFeed)
	c.key = parser.key()
	parser.rejectUnknown()
	if c.feed && c.nonIdempotent {
		parser.addFinding(HeaderFeed, "can't be combined with "+HeaderNonIdempotent, "leave one of them out")
	}
	if c.key != "" && !c.nonIdempotent {
		parser.addFinding(HeaderKey, "needs "+HeaderNonIdempotent, "mark the request as non-idempotent or leave the key out")
	}
	return parser.findings
}

// splitPath splits /services/<service>/<path>. It returns false if the path has another
// form.
func splitPath(path string) (manifest.ServiceName, string, bool) {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	if !ok {
		return "", "", false
	}
	name, inner, _ := strings.Cut(rest, "/")
	return manifest.ServiceName(name), "/" + inner, name != ""
}

// innerRawPath returns the path after the service name as the caller encoded it, or "" if
// the default encoding applies.
func innerRawPath(u *url.URL) string {
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

// readBody reads the whole body, so that it can be sent again in a retry.
func readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, Reason) {
	if limit <= 0 {
		limit = DefaultMaxBody
	}
	body, err := intake.ReadBody(ctx, w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case intake.IsRefusal(err):
		return nil, ReasonRequestMemory
	case errors.As(err, &tooLarge):
		return nil, ReasonBodyTooLarge
	case err != nil:
		return nil, ReasonBodyUnreadable
	}
	return body, ""
}

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers that are forwarded.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, headerPrefix) {
			delete(out, name)
		}
	}
	return out
}
