package manifest

import "time"

// Default values for fields that are 0 in a manifest.
const (
	// DefaultShardsPerZone gives a shard about 5 to 20 workers at the present number of
	// workers.
	DefaultShardsPerZone = 4
	// DefaultMaxQueuedJobs is about the number of jobs in a day after two years of growth.
	DefaultMaxQueuedJobs   = 300_000
	DefaultMaxTasksPerJob  = 10_000
	DefaultMaxPayload      = 1 << 20
	DefaultMaxResult       = 1 << 20
	DefaultMaxBody         = 1 << 20
	DefaultReturnRamp      = Duration(time.Minute)
	DefaultIdleTimeout     = Duration(15 * time.Second)
	DefaultMaxFeedDuration = Duration(time.Hour)
	DefaultMaxAttempts     = 3
)

// Defaults returns a copy of the manifest in which the limits, the bounds of services and
// MaxAttempts have default values where they are 0. FirstByteTimeout defaults to
// MaxDuration.
func Defaults(m Manifest) Manifest {
	m.Limits = m.Limits.withDefaults()
	m.Services = mapSlice(m.Services, Service.withDefaults)
	m.Classes = mapSlice(m.Classes, Class.withDefaults)
	return m
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.ShardsPerZone, DefaultShardsPerZone)
	setDefault(&l.MaxQueuedJobs, DefaultMaxQueuedJobs)
	setDefault(&l.MaxTasksPerJob, DefaultMaxTasksPerJob)
	setDefault(&l.MaxPayload, DefaultMaxPayload)
	setDefault(&l.MaxResult, DefaultMaxResult)
	setDefault(&l.ReturnRamp, DefaultReturnRamp)
	return l
}

func (s Service) withDefaults() Service {
	setDefault(&s.FirstByteTimeout, s.MaxDuration)
	setDefault(&s.MaxFeedDuration, max(DefaultMaxFeedDuration, s.IdleTimeout))
	setDefault(&s.IdleTimeout, min(DefaultIdleTimeout, s.MaxFeedDuration))
	setDefault(&s.MaxBody, DefaultMaxBody)
	return s
}

func (c Class) withDefaults() Class {
	setDefault(&c.MaxAttempts, DefaultMaxAttempts)
	return c
}

// setDefault sets *value to defaultValue if it is 0.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// mapSlice returns a new list with f applied to each element, or nil for a nil list.
func mapSlice[T any](list []T, f func(T) T) []T {
	if list == nil {
		return nil
	}
	result := make([]T, 0, len(list))
	for _, element := range list {
		result = append(result, f(element))
	}
	return result
}
