package executor

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Limits of what a request may ask for.
const (
	// MaxSize bounds the bytes of an answer.
	MaxSize = 1 << 30
	// MaxRequestBytes bounds the body of a request.
	MaxRequestBytes = 64 << 20
	// defaultInterval is the time between lines and between heartbeats of a feed.
	defaultInterval = time.Second
)

// never is a byte count that an answer does not reach.
const never = -1

// behavior is what a request asks for in its query:
//
//	work=duration         run time before the first byte, times the slow factor
//	size=bytes            size of the answer's body
//	seed=text             seed of the body's Content; the request id if absent
//	chunked=true          send the body without a length
//	dieAfter=bytes        cut the connection after so many bytes of the body
//	silentAfter=bytes     send nothing more after so many bytes of the body
//	feed=true             send lines until the caller leaves, in place of size
//	interval=duration     time between lines of a feed
//	heartbeat=duration    time between empty lines of a feed
//	lines=count           end the feed after so many lines
type behavior struct {
	work        time.Duration
	size        int64
	seed        string
	chunked     bool
	dieAfter    int64
	silentAfter int64
	feed        bool
	interval    time.Duration
	heartbeat   time.Duration
	lines       int64
}

// parseBehavior returns all faults of the query together.
func parseBehavior(query url.Values) (behavior, error) {
	p := parser{query: query}
	b := behavior{
		work:        p.duration("work", 0),
		size:        p.count("size", 0),
		seed:        query.Get("seed"),
		chunked:     p.flag("chunked"),
		dieAfter:    p.count("dieAfter", never),
		silentAfter: p.count("silentAfter", never),
		feed:        p.flag("feed"),
		interval:    p.duration("interval", defaultInterval),
		heartbeat:   p.duration("heartbeat", defaultInterval),
		lines:       p.count("lines", never),
	}
	if b.interval == 0 || b.heartbeat == 0 {
		p.findings = append(p.findings, errors.New("interval and heartbeat must not be 0"))
	}
	return b, errors.Join(p.findings...)
}

type parser struct {
	query    url.Values
	findings []error
}

func (p *parser) duration(name string, otherwise time.Duration) time.Duration {
	if !p.query.Has(name) {
		return otherwise
	}
	value, err := time.ParseDuration(p.query.Get(name))
	p.check(name, err, value >= 0)
	return value
}

func (p *parser) count(name string, otherwise int64) int64 {
	if !p.query.Has(name) {
		return otherwise
	}
	value, err := strconv.ParseInt(p.query.Get(name), 10, 64)
	p.check(name, err, value >= 0 && value <= MaxSize)
	return value
}

func (p *parser) flag(name string) bool {
	if !p.query.Has(name) {
		return false
	}
	value, err := strconv.ParseBool(p.query.Get(name))
	p.check(name, err, true)
	return value
}

func (p *parser) check(name string, err error, inRange bool) {
	if err == nil && !inRange {
		err = errors.New("out of range")
	}
	if err != nil {
		p.findings = append(p.findings, fmt.Errorf("query parameter %s: %w", name, err))
	}
}
