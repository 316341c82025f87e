package manifest

import "time"

// Defaults of limits and bounds that a manifest leaves at 0.
const (
	// DefaultShardsPerZone keeps a shard at about 5 to 20 workers at present sizes.
	DefaultShardsPerZone = 4
	// DefaultMaxQueuedJobs is about the number of jobs that two years' growth brings in a day.
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

// Defaults returns the manifest with the defaults in place of limits, bounds of
// services and MaxAttempts that are 0. FirstByteTimeout defaults to MaxDuration.
// The manifest that is given isn't changed.
func Defaults(m Manifest) Manifest {
	m.Limits = m.Limits.withDefaults()
	m.Services = mapped(m.Services, Service.withDefaults)
	m.Classes = mapped(m.Classes, Class.withDefaults)
	return m
}

func (l Limits) withDefaults() Limits {
	fill(&l.ShardsPerZone, DefaultShardsPerZone)
	fill(&l.MaxQueuedJobs, DefaultMaxQueuedJobs)
	fill(&l.MaxTasksPerJob, DefaultMaxTasksPerJob)
	fill(&l.MaxPayload, DefaultMaxPayload)
	fill(&l.MaxResult, DefaultMaxResult)
	fill(&l.ReturnRamp, DefaultReturnRamp)
	return l
}

func (s Service) withDefaults() Service {
	fill(&s.FirstByteTimeout, s.MaxDuration)
	fill(&s.MaxFeedDuration, max(DefaultMaxFeedDuration, s.IdleTimeout))
	fill(&s.IdleTimeout, min(DefaultIdleTimeout, s.MaxFeedDuration))
	fill(&s.MaxBody, DefaultMaxBody)
	return s
}

func (c Class) withDefaults() Class {
	fill(&c.MaxAttempts, DefaultMaxAttempts)
	return c
}

// fill sets a value that is 0.
func fill[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

func mapped[T any](list []T, f func(T) T) []T {
	if list == nil {
		return nil
	}
	result := make([]T, 0, len(list))
	for _, element := range list {
		result = append(result, f(element))
	}
	return result
}
