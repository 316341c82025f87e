// Package manifest defines, decodes and checks the configuration that operators publish.
package manifest

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Version is the number of an accepted manifest, starting at 1. It is assigned on
// publication.
type Version uint64

// TeamName is the name of a team.
type TeamName string

// ServiceName is the name of a service.
type ServiceName string

// ClassName is the name of a job class.
type ClassName string

// Duration is a time.Duration that is encoded in JSON as a Go duration string.
type Duration time.Duration

// MarshalText encodes the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a Go duration string such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Manifest declares availability zones, services, job classes, teams and limits.
type Manifest struct {
	Zones    []Zone
	Services []Service
	Classes  []Class
	Teams    []Team
	Limits   Limits
}

// Zone declares an availability zone. The manifest doesn't say whether the zone is in
// service.
type Zone struct {
	Name   membership.Zone
	Region membership.Region
}

// Service declares a latency-critical service.
type Service struct {
	Name ServiceName
	// Target is the objective for the p99 latency.
	Target Duration
	// MaxDuration is the longest time that an executor may work on a request. It also
	// caps the timeouts that callers set.
	MaxDuration Duration
	// FirstByteTimeout bounds the wait for the first byte of an answer, and IdleTimeout
	// the wait for each further part of it.
	FirstByteTimeout Duration
	IdleTimeout      Duration
	// MaxFeedDuration bounds the duration of a feed. The caller reconnects after it.
	MaxFeedDuration Duration
	// RetryShare is the share of requests that may be retried or hedged, in thousandths.
	RetryShare int
	// HedgePercentile is the latency percentile after which a request is hedged; 0
	// disables hedging.
	HedgePercentile int
	// ErrorBudget is the share of answers that may be late, in thousandths.
	ErrorBudget int
	// MaxBody is the maximum size of a request body.
	MaxBody resource.Bytes
}

// Class declares a class of batch jobs.
type Class struct {
	Name ClassName
	Team TeamName
	// Resources is what each task reserves.
	Resources        resource.Vector
	ExpectedDuration Duration
	Checkpointable   bool
	// MaxAttempts is the number of failed attempts of a task after which its job is
	// parked.
	MaxAttempts int
}

// Team declares a team and its quota.
type Team struct {
	Name TeamName
	// Parent is the team whose quota also bounds this team. It is empty for a root team.
	Parent TeamName
	// Quota bounds the resources that the running tasks of the team and of its
	// descendants reserve.
	Quota resource.Vector
	// UrgentQuota is the part of Quota that urgent jobs may use at the same time.
	UrgentQuota resource.Vector
	// Weight is the share of free capacity relative to other teams; 0 counts as 1.
	Weight int
}

// Limits holds the limits and settings of the whole system. Defaults replaces those that
// are 0.
type Limits struct {
	ShardsPerZone  int
	MaxQueuedJobs  int
	MaxTasksPerJob int
	MaxPayload     resource.Bytes
	MaxResult      resource.Bytes
	ReturnRamp     Duration
}

// Published is an accepted manifest with its version.
type Published struct {
	Version  Version
	Manifest Manifest
}
