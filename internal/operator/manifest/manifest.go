// Package manifest has the configuration that operators publish.
package manifest

import (
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Version numbers the accepted manifests from 1. It is assigned on publication.
type Version uint64

// TeamName names a team.
type TeamName string

// ServiceName names a service.
type ServiceName string

// ClassName names a job class.
type ClassName string

// Duration is a time.Duration that is written in JSON as a Go duration string.
type Duration time.Duration

// MarshalText writes the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a Go duration string such as "1.5s".
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

// Zone declares an availability zone. Whether it is in service isn't part of the
// manifest.
type Zone struct {
	Name   membership.Zone
	Region membership.Region
}

// Service declares a latency-critical service.
type Service struct {
	Name ServiceName
	// Target is the p99 latency that callers are promised.
	Target Duration
	// MaxDuration is the longest time that an executor may work on a request.
	// Longer timeouts of callers are cut to it.
	MaxDuration Duration
	// FirstByteTimeout and IdleTimeout bound the silence of an executor before the
	// first byte of an answer and between its bytes.
	FirstByteTimeout Duration
	IdleTimeout      Duration
	// MaxFeedDuration bounds the life of a feed; the caller then reconnects.
	MaxFeedDuration Duration
	// RetryShare is the share of requests that may be retried or hedged, in thousandths.
	RetryShare int
	// HedgePercentile is the percentile of latency after which a request is
	// hedged, 0 for never.
	HedgePercentile int
	// ErrorBudget is the share of answers that may be late, in thousandths.
	ErrorBudget int
	// MaxBody is the largest request body.
	MaxBody resource.Bytes
}

// Class declares a class of batch jobs.
type Class struct {
	Name ClassName
	Team TeamName
	// Resources is what each task declares to need.
	Resources        resource.Vector
	ExpectedDuration Duration
	Checkpointable   bool
	// MaxAttempts bounds the failed starts of a task before its job is parked.
	MaxAttempts int
}

// Team declares a team and its quota.
type Team struct {
	Name TeamName
	// Parent is the team whose quota also bounds this one, empty for none.
	Parent TeamName
	// Quota bounds what the running tasks of the team and of its children reserve.
	Quota resource.Vector
	// UrgentQuota is the part of Quota that urgent jobs may use at once.
	UrgentQuota resource.Vector
	// Weight shares free capacity between teams; 0 counts as 1.
	Weight int
}

// Limits bounds what the system accepts.
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
