// Package queue defines what the HTTP API for callers and the dispatcher share about job
// queues: the configuration in force, the errors of calls and the limits of a job.
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

// Version is the number of a configuration. It increases with each change.
type Version int64

// Route assigns requests for a host and a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  dispatch.QueueName
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is the configuration of a pool of workers.
type Service struct {
	Name dispatch.ServiceName
	// AdmissionCheck reports whether workers refuse tasks that don't fit.
	AdmissionCheck bool
	Standby        bool
}

// Configuration is the configuration that the operator has published. The zero value
// has no routes.
type Configuration struct {
	Version  Version
	Routes   []Route
	Queues   map[dispatch.QueueName]dispatch.Queue
	Services map[dispatch.ServiceName]Service
	Limits   Limits
	// ZonesOut holds the availability zones in which no task may start. It can change
	// without a new Version.
	ZonesOut map[membership.Zone]bool
}

// Match returns the route of the host with the longest matching prefix of the path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	longest := -1
	for i, route := range c.Routes {
		if route.Host == host && strings.HasPrefix(path, route.Prefix) && (longest < 0 || len(route.Prefix) > len(c.Routes[longest].Prefix)) {
			longest = i
		}
	}
	if longest < 0 {
		return Route{}, false
	}
	return c.Routes[longest], true
}

// Refusal is the error of a request that had no effect and will have none.
type Refusal struct {
	// Reason is the counter name of the refusal.
	Reason string
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Overload reports whether the caller's own load is the cause.
	Overload bool
	// Permanent reports that the same request will always be refused.
	Permanent bool
}

// Error returns the reason and the retry delay.
func (r *Refusal) Error() string {
	if r.Permanent {
		return fmt.Sprintf("refused: %s; the same request will always be refused", r.Reason)
	}
	return fmt.Sprintf("refused: %s; retry after %v", r.Reason, r.RetryAfter)
}

// Errors of callers' requests.
var (
	// ErrUnknownJob reports that no job has the id.
	ErrUnknownJob = errors.New("queue: no such job")
	// ErrOutcomeUnknown reports that the request may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("queue: the outcome is unknown")
)

const (
	// MaxSpecBytes bounds the size of a job's specification.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// maxTasks bounds the tasks of a step.
	maxTasks = 2500
	// maxTotalTasks bounds the tasks of all steps and repetitions together, because
	// their progress must fit in one row of the store.
	maxTotalTasks = 2500
	// maxRepetitions bounds the occurrences of a job.
	maxRepetitions = 1024
	// maxFindings bounds the faults that are listed of a job, because a job can have very many.
	maxFindings = 100
	// MaxEstimate bounds the estimated duration of a task, so that the sum over the steps of a
	// job is a duration.
	MaxEstimate = 30 * 24 * time.Hour
)

// EarliestFirstRun and LatestFirstRun are the limits for the first run of a repeated job. JSON has no
// form for times of other years.
func EarliestFirstRun() time.Time { return time.Date(1, time.January, 1, 0, 0, 0, 0, time.UTC) }

// LatestFirstRun is described with EarliestFirstRun.
func LatestFirstRun() time.Time {
	return time.Date(9999, time.December, 31, 23, 59, 59, 0, time.UTC)
}

// Check returns the faults of a job as one error. Each fault names its place. After maxFindings
// faults, the others are only counted.
func Check(j *dispatch.Job) error {
	var findings []error
	others := 0
	report := func(format string, args ...any) {
		if len(findings) == maxFindings {
			others++
			return
		}
		findings = append(findings, fmt.Errorf(format, args...))
	}
	if len(j.Spec) > MaxSpecBytes {
		report("spec has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		report("there are %d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if j.Repetitions < 0 || j.Repetitions > maxRepetitions {
		report("there are %d repetitions; 0 to %d are allowed", j.Repetitions, maxRepetitions)
	}
	if j.Repetitions > 1 && j.Interval <= 0 {
		report("the interval of a repeated job must be positive")
	}
	if j.FirstRun.Before(EarliestFirstRun()) || j.FirstRun.After(LatestFirstRun()) {
		report("the first run is on %v; a time from %v to %v is allowed", j.FirstRun, EarliestFirstRun(), LatestFirstRun())
	}
	total := 0
	for i := range j.Steps {
		checkStep(i, &j.Steps[i], report)
		total += j.Steps[i].Tasks * j.Occurrences()
	}
	if total > maxTotalTasks {
		report("there are %d tasks in all steps and repetitions; at most %d are allowed", total, maxTotalTasks)
	}
	if others > 0 {
		findings = append(findings, fmt.Errorf("there are %d other faults", others))
	}
	return errors.Join(findings...)
}

func checkStep(index int, step *dispatch.Step, report func(string, ...any)) {
	if step.Tasks < 1 || step.Tasks > maxTasks {
		report("step %d has %d tasks; 1 to %d are allowed", index, step.Tasks, maxTasks)
	}
	if step.Estimate < 0 || step.Estimate > MaxEstimate {
		report("step %d has an estimate of %v; 0 to %v are allowed", index, step.Estimate, MaxEstimate)
	}
	if r := step.Resources; min(int64(r.Processors), int64(r.Memory), int64(r.Accelerators)) < 0 {
		report("step %d asks for a negative amount of a resource", index)
	}
	for _, predecessor := range step.After {
		if predecessor < 0 || predecessor >= index {
			report("step %d comes after step %d, which is no earlier step", index, predecessor)
		}
	}
}

// SortRoutes sorts routes by host and prefix, so that their order doesn't depend on the
// order in which they were read.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
}
