package configuration

import (
	"fmt"
	"strings"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Finding is a fault in a configuration.
type Finding struct {
	Place   Place
	Problem string
	Fix     string
}

// Sizes of requests that no configuration changes.
const (
	// jobIDLength is the length of the job id at the end of a job's path.
	jobIDLength = 16
	// minHeaderBytes is the space that a request needs for header fields other than the host and path.
	minHeaderBytes = 512
)

// Check returns the faults of a configuration: errors, queues and services that no request or task can ever
// reach, and settings that contradict each other. They are in the order of the configuration.
func Check(d *Draft) []Finding {
	c := checker{draft: d}
	c.checkVersion()
	c.checkQueues()
	c.checkServices()
	c.checkLimits()
	return c.findings
}

// checker collects the findings of a configuration.
type checker struct {
	draft    *Draft
	findings []Finding
}

func (c *checker) report(p Place, fix, problem string, args ...any) {
	c.findings = append(c.findings, Finding{Place: p, Problem: fmt.Sprintf(problem, args...), Fix: fix})
}

func (c *checker) checkVersion() {
	if c.draft.Version <= 0 {
		c.report(Place{Field: FieldVersion}, "number the versions upwards from 1", "version %d isn't positive", c.draft.Version)
	}
	if len(c.draft.Queues) == 0 {
		c.report(Place{Section: SectionQueues}, "add the queues", "there are no queues, so every request is refused")
	}
}

func (c *checker) checkQueues() {
	names := map[dispatch.QueueName]int{}
	type address struct{ host, prefix string }
	addresses := map[address]int{}
	for i := range c.draft.Queues {
		q := &c.draft.Queues[i]
		at := func(f Field) Place { return Place{SectionQueues, i, f} }
		c.checkName(at(FieldName), string(q.Name), i, firstIndex(names, q.Name, i))
		c.checkAddress(q, at)
		if first := firstIndex(addresses, address{q.Host, q.Prefix}, i); first != i {
			c.report(at(FieldPrefix), "remove one of the two, or give it another prefix",
				"entry %d has the same host and prefix, so that no request reaches this one", first)
		}
		c.checkQueueService(q, at(FieldService))
		c.checkScheduling(q, at)
	}
}

// firstIndex returns the index at which a key was first seen, and records it.
func firstIndex[K comparable](seen map[K]int, key K, index int) int {
	if first, known := seen[key]; known {
		return first
	}
	seen[key] = index
	return index
}

func (c *checker) checkName(at Place, name string, index, first int) {
	switch {
	case name == "":
		c.report(at, "give the entry a name", "the name is empty")
	case first != index:
		c.report(at, "give each entry its own name", "entry %d has the name %q, too", first, name)
	}
}

// checkAddress checks that a request can have the host and a path with the prefix.
func (c *checker) checkAddress(q *Queue, at func(Field) Place) {
	switch {
	case q.Host == "":
		c.report(at(FieldHost), "name the host that callers send", "the host is empty")
	case strings.ContainsAny(q.Host, ":/ "):
		c.report(at(FieldHost), "give the name alone", "host %q has a port, a path or spaces, so that no request matches it", q.Host)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.report(at(FieldPrefix), "begin the prefix with a slash", "prefix %q doesn't begin with a slash, so that no path has it", q.Prefix)
	}
}

func (c *checker) checkQueueService(q *Queue, at Place) {
	for _, s := range c.draft.Services {
		if s.Name != q.Service {
			continue
		}
		if s.Standby {
			c.report(at, "take the service out of standby, or name another one",
				"service %q is on standby, so that the queue's tasks never start", q.Service)
		}
		return
	}
	c.report(at, "add the service, or name one that there is", "there is no service %q, so that the queue's tasks never start", q.Service)
}

func (c *checker) checkScheduling(q *Queue, at func(Field) Place) {
	if q.Priority < 0 {
		c.report(at(FieldPriority), "use 0 for the most urgent queue", "priority %d is negative", q.Priority)
	}
	if q.MaxAttempts < 0 {
		c.report(at(FieldMaxAttempts), "use 0 for no limit", "%d attempts are negative", q.MaxAttempts)
	}
	if q.SlackFactor < 0 || q.TargetLatency < 0 {
		c.report(at(FieldSlackFactor), "use 0 or more", "the slack factor %g or the target latency %v is negative", q.SlackFactor, q.TargetLatency)
	} else if q.SlackFactor < 1 && q.TargetLatency == 0 {
		c.report(at(FieldTargetLatency), "raise the slack factor to 1 or more, or set a target latency",
			"a slack factor of %g without a target latency makes every job late, even on idle workers", q.SlackFactor)
	}
}

func (c *checker) checkServices() {
	names := map[dispatch.ServiceName]int{}
	used := map[dispatch.ServiceName]bool{}
	for i := range c.draft.Queues {
		used[c.draft.Queues[i].Service] = true
	}
	for i, s := range c.draft.Services {
		at := Place{SectionServices, i, FieldName}
		c.checkName(at, string(s.Name), i, firstIndex(names, s.Name, i))
		if s.Name != "" && !used[s.Name] && !s.Standby {
			c.report(at, "add a queue for it, put it on standby, or remove it", "no queue names service %q, so that its workers get no tasks", s.Name)
		}
	}
}

func (c *checker) checkLimits() {
	l := c.draft.Limits
	at := func(f Field) Place { return Place{Section: SectionLimits, Field: f} }
	for _, check := range []struct {
		field Field
		value int64
	}{
		{FieldHeaderBytes, int64(l.HeaderBytes)},
		{FieldBodyBytes, l.BodyBytes},
		{FieldHeaderTimeout, int64(l.HeaderTimeout)},
		{FieldIdleTimeout, int64(l.IdleTimeout)},
	} {
		if check.value < 0 {
			c.report(at(check.field), "use 0 for the default", "the limit is negative")
		}
	}
	if l.BodyBytes > 0 && l.BodyBytes < queue.MaxSpecBytes {
		c.report(at(FieldBodyBytes), fmt.Sprintf("allow %d bytes or more", 2*queue.MaxSpecBytes),
			"a body of %d bytes can't hold the longest specification of a job, %d bytes", l.BodyBytes, queue.MaxSpecBytes)
	}
	if longest := c.longestAddress(); l.HeaderBytes > 0 && l.HeaderBytes < longest+minHeaderBytes {
		c.report(at(FieldHeaderBytes), fmt.Sprintf("allow %d bytes or more", longest+minHeaderBytes),
			"headers of %d bytes are too small for the longest host and path, %d bytes, and the other fields", l.HeaderBytes, longest)
	}
}

// longestAddress returns the bytes of the longest host and path of a job.
func (c *checker) longestAddress() int {
	longest := 0
	for i := range c.draft.Queues {
		longest = max(longest, len(c.draft.Queues[i].Host)+len(c.draft.Queues[i].Prefix)+jobIDLength)
	}
	return longest
}
