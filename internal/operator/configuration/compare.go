package configuration

import (
	"fmt"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Change is a difference between the configuration in force and a new one.
type Change struct {
	// Entry is the name of the queue or service that differs. It is empty for a limit and for the version.
	Entry string
	Field Field
	// Section is the part in which the entry or the setting is.
	Section Section
	// Before and After are the values. Before is empty if the entry was added, and After if it was removed.
	Before string
	After  string
	// Effect describes what the change means for callers. It is empty if the values show that.
	Effect string
}

// Compare returns the differences between the configuration in force and the next one, in the order of the
// next one, with removed entries at the end of each section.
func Compare(inForce, next *Draft) []Change {
	var changes []Change
	if next.Version <= inForce.Version {
		changes = append(changes, Change{
			Field: FieldVersion, Before: format(inForce.Version), After: format(next.Version),
			Effect: "the version isn't higher than the one in force, so that the change is ignored",
		})
	}
	changes = append(changes, compareQueues(inForce.Queues, next.Queues)...)
	changes = append(changes, compareServices(inForce.Services, next.Services)...)
	return append(changes, compareLimits(inForce.Limits, next.Limits)...)
}

// settings are the values of an entry by field, in the order in which they are compared.
type settings []struct {
	field Field
	value string
}

// compareSettings appends the fields that differ.
func compareSettings(changes []Change, s Section, entry string, before, after settings) []Change {
	for i := range before {
		if before[i].value != after[i].value {
			changes = append(changes, Change{Section: s, Entry: entry, Field: before[i].field, Before: before[i].value, After: after[i].value})
		}
	}
	return changes
}

func format(value any) string {
	return fmt.Sprint(value)
}

func (q *Queue) settings() settings {
	return settings{
		{FieldHost, q.Host},
		{FieldPrefix, q.Prefix},
		{FieldService, string(q.Service)},
		{FieldPriority, format(q.Priority)},
		{FieldMaxAttempts, format(q.MaxAttempts)},
		{FieldSlackFactor, format(q.SlackFactor)},
		{FieldTargetLatency, format(q.TargetLatency)},
		{FieldAdvice, format(q.NeedsAdvice)},
	}
}

// byName returns the last entry with each name, which is the one that takes effect.
func byName[K comparable, E any](list []E, name func(*E) K) map[K]*E {
	entries := make(map[K]*E, len(list))
	for i := range list {
		entries[name(&list[i])] = &list[i]
	}
	return entries
}

func compareQueues(inForce, next []Queue) []Change {
	name := func(q *Queue) dispatch.QueueName { return q.Name }
	before, after := byName(inForce, name), byName(next, name)
	var changes []Change
	for i := range next {
		q := &next[i]
		earlier := before[q.Name]
		if earlier == nil {
			changes = append(changes, Change{Section: SectionQueues, Entry: string(q.Name), After: q.Host + q.Prefix})
			continue
		}
		changes = compareSettings(changes, SectionQueues, string(q.Name), earlier.settings(), q.settings())
	}
	for i := range inForce {
		q := &inForce[i]
		if after[q.Name] == nil {
			changes = append(changes, Change{
				Section: SectionQueues, Entry: string(q.Name), Before: q.Host + q.Prefix,
				Effect: "its accepted jobs go on with their earlier settings, but callers can't ask for them or cancel them any more",
			})
		}
	}
	return changes
}

func compareServices(inForce, next []queue.Service) []Change {
	name := func(s *queue.Service) dispatch.ServiceName { return s.Name }
	values := func(s *queue.Service) settings {
		return settings{{FieldAdmissionCheck, format(s.AdmissionCheck)}, {FieldStandby, format(s.Standby)}}
	}
	before, after := byName(inForce, name), byName(next, name)
	var changes []Change
	for i := range next {
		s := &next[i]
		if earlier := before[s.Name]; earlier != nil {
			changes = compareSettings(changes, SectionServices, string(s.Name), values(earlier), values(s))
			continue
		}
		changes = append(changes, Change{Section: SectionServices, Entry: string(s.Name), After: "added"})
	}
	for i := range inForce {
		if s := &inForce[i]; after[s.Name] == nil {
			changes = append(changes, Change{
				Section: SectionServices, Entry: string(s.Name), Before: "configured",
				Effect: "its workers get no new tasks but those of accepted jobs",
			})
		}
	}
	return changes
}

func compareLimits(inForce, next queue.Limits) []Change {
	values := func(l queue.Limits) settings {
		return settings{
			{FieldHeaderBytes, format(l.HeaderBytes)},
			{FieldBodyBytes, format(l.BodyBytes)},
			{FieldHeaderTimeout, format(l.HeaderTimeout)},
			{FieldIdleTimeout, format(l.IdleTimeout)},
		}
	}
	return compareSettings(nil, SectionLimits, "", values(inForce), values(next))
}
