package executor

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Limits of a request.
const (
	// MaxResponseBytes bounds the response body.
	MaxResponseBytes = 1 << 30
	// MaxRequestBytes bounds the request body.
	MaxRequestBytes = 64 << 20
	// defaultFeedInterval is the default interval of a feed's lines and of its heartbeats.
	defaultFeedInterval = time.Second
)

// never is a byte or line count that a response doesn't reach.
const never = -1

// behavior is the behavior that the query of a request asks for:
//
//	work=duration         run time before the first byte, multiplied by the slow factor
//	size=bytes            size of the response body
//	seed=text             seed of the body's Content; the request ID if absent
//	chunked=true          send the body without a Content-Length
//	dieAfter=bytes        close the connection after this many bytes of the body
//	silentAfter=bytes     send nothing more after this many bytes of the body
//	feed=true             instead of a body of the given size, send lines until the
//	                      caller disconnects
//	interval=duration     time between lines of a feed
//	heartbeat=duration    time between empty lines of a feed
//	lines=count           end the feed after this many lines
type behavior struct {
	work        time.Duration
	size        int64
	seed        string
	chunked     bool
	cutAfter    int64
	silentAfter int64
	feed        bool
	interval    time.Duration
	heartbeat   time.Duration
	lines       int64
}

// parseBehavior parses the query. Its error joins those of all invalid parameters.
func parseBehavior(query url.Values) (behavior, error) {
	p := queryParser{query: query}
	b := behavior{
		work:        p.duration("work", 0),
		size:        p.count("size", 0),
		seed:        query.Get("seed"),
		chunked:     p.flag("chunked"),
		cutAfter:    p.count("dieAfter", never),
		silentAfter: p.count("silentAfter", never),
		feed:        p.flag("feed"),
		interval:    p.duration("interval", defaultFeedInterval),
		heartbeat:   p.duration("heartbeat", defaultFeedInterval),
		lines:       p.count("lines", never),
	}
	if b.interval == 0 || b.heartbeat == 0 {
		p.errs = append(p.errs, errors.New("interval and heartbeat must not be 0"))
	}
	return b, errors.Join(p.errs...)
}

type queryParser struct {
	query url.Values
	errs  []error
}

func (p *queryParser) duration(name string, defaultValue time.Duration) time.Duration {
	if !p.query.Has(name) {
		return defaultValue
	}
	value, err := time.ParseDuration(p.query.Get(name))
	p.checkParameter(name, err, value >= 0)
	return value
}

func (p *queryParser) count(name string, defaultValue int64) int64 {
	if !p.query.Has(name) {
		return defaultValue
	}
	value, err := strconv.ParseInt(p.query.Get(name), 10, 64)
	p.checkParameter(name, err, value >= 0 && value <= MaxResponseBytes)
	return value
}

func (p *queryParser) flag(name string) bool {
	if !p.query.Has(name) {
		return false
	}
	value, err := strconv.ParseBool(p.query.Get(name))
	p.checkParameter(name, err, true)
	return value
}

func (p *queryParser) checkParameter(name string, err error, inRange bool) {
	if err == nil && !inRange {
		err = errors.New("out of range")
	}
	if err != nil {
		p.errs = append(p.errs, fmt.Errorf("query parameter %s: %w", name, err))
	}
}
