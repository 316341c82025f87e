// Package queue has what callers and the dispatcher agree on about queues of jobs:
// the configuration in force, and the answers to callers.
package queue

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Version of a configuration. It rises with each change.
type Version int64

// Route leads requests for a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  dispatch.QueueName
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is the configuration of a pool of workers.
type Service struct {
	Name dispatch.ServiceName
	// AdmissionCheck tells that workers refuse what doesn't fit.
	AdmissionCheck bool
	Standby        bool
}

// Configuration is what the operator has published. The zero value has no routes.
type Configuration struct {
	Version  Version
	Routes   []Route
	Queues   map[dispatch.QueueName]dispatch.Queue
	Services map[dispatch.ServiceName]Service
	Limits   Limits
	// ZonesOut are the zones in which nothing may start. They don't belong to the version.
	ZonesOut map[membership.Zone]bool
}

// Match returns the queue of the route with the longest prefix of the path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Refusal is a definite no to a request: nothing was done and nothing will be.
type Refusal struct {
	// Reason names the counter of the refusal.
	Reason string
	// RetryAfter is when the caller should try again.
	RetryAfter time.Duration
	// Overload tells that the caller's own demand is the cause.
	Overload bool
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s; retry after %v", r.Reason, r.RetryAfter)
}

// Errors of the calls of a caller.
var (
	// ErrUnknownJob reports that there is no such job.
	ErrUnknownJob = errors.New("queue: no such job")
	// ErrOutcomeUnknown reports that the call may have had an effect.
	ErrOutcomeUnknown = errors.New("queue: the outcome is unknown")
)

const (
	// maxSpecBytes bounds the specification of a job.
	maxSpecBytes = 4000
	// maxSteps bounds the steps of a job.
	maxSteps = 64
	// maxTasks bounds the tasks of a step.
	maxTasks = 2500
	// maxTotalTasks bounds the tasks of all steps and repetitions together: their
	// progress must fit in one row of the store.
	maxTotalTasks = 2500
	// maxRepetitions bounds the occurrences of a job.
	maxRepetitions = 1024
)

// Check returns everything that is wrong with a job, each with its place.
func Check(j *dispatch.Job) error {
	var findings []error
	found := func(format string, args ...any) { findings = append(findings, fmt.Errorf(format, args...)) }
	if len(j.Spec) > maxSpecBytes {
		found("spec has %d bytes; at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		found("there are %d steps; 1 to %d are allowed", len(j.Steps), maxSteps)
	}
	if j.Repetitions < 0 || j.Repetitions > maxRepetitions {
		found("there are %d repetitions; 0 to %d are allowed", j.Repetitions, maxRepetitions)
	}
	if j.Repetitions > 1 && j.Interval <= 0 {
		found("the interval of a repeated job must be positive")
	}
	total := 0
	for i := range j.Steps {
		checkStep(i, &j.Steps[i], found)
		total += j.Steps[i].Tasks * j.Occurrences()
	}
	if total > maxTotalTasks {
		found("there are %d tasks in all steps and repetitions; at most %d are allowed", total, maxTotalTasks)
	}
	return errors.Join(findings...)
}

func checkStep(index int, s *dispatch.Step, found func(string, ...any)) {
	if s.Tasks < 1 || s.Tasks > maxTasks {
		found("step %d has %d tasks; 1 to %d are allowed", index, s.Tasks, maxTasks)
	}
	if r := s.Resources; min(int64(r.Processors), int64(r.Memory), int64(r.Accelerators)) < 0 {
		found("step %d asks for a negative amount of a resource", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			found("step %d comes after step %d, which is no earlier step", index, before)
		}
	}
}

// SortRoutes puts routes in an order that doesn't depend on how they were listed.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
}
