package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

type instances map[membership.InstanceID]membership.Instance

// change is a change of the list. A nil instance was removed.
type change struct {
	at       time.Time
	revision uint64
	id       membership.InstanceID
	instance *membership.Instance
}

func (c change) apply(to instances) {
	if c.instance == nil {
		delete(to, c.id)
		return
	}
	to[c.id] = *c.instance
}

// list is the membership list with its history of MaxMembershipLag.
type list struct {
	term time.Duration

	mutex    sync.Mutex
	outage   bool
	lag      time.Duration
	frozen   *membership.Snapshot
	expiries map[membership.InstanceID]time.Time
	// nextExpiry is no later than the earliest expiry, so that most calls needn't
	// look at all instances.
	nextExpiry time.Time

	now      instances
	revision uint64
	// past is the list before the changes in history.
	past         instances
	pastRevision uint64
	history      []change

	cached membership.Snapshot
}

// newList returns an empty list. Its revisions begin at the time, so that they
// exceed those of an earlier process at the same address.
func newList(now time.Time, term time.Duration) *list {
	revision := uint64(now.UnixMilli())
	return &list{
		term:         term,
		expiries:     map[membership.InstanceID]time.Time{},
		now:          instances{},
		revision:     revision,
		past:         instances{},
		pastRevision: revision,
		cached:       membership.Snapshot{Revision: revision},
	}
}

func (l *list) announce(now time.Time, instance membership.Instance) error {
	if err := instance.Validate(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	expiry := now.Add(l.term)
	l.expiries[instance.ID] = expiry
	if l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
		l.nextExpiry = expiry
	}
	if known, ok := l.now[instance.ID]; !ok || known != instance {
		l.record(now, instance.ID, &instance)
	}
	return nil
}

func (l *list) withdraw(now time.Time, id membership.InstanceID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	if _, ok := l.now[id]; ok {
		l.remove(now, id)
	}
}

// shown returns the list as callers see it.
func (l *list) shown(now time.Time) membership.Snapshot {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	l.forget(now.Add(-MaxMembershipLag))
	if l.frozen != nil {
		return *l.frozen
	}
	return l.at(now.Add(-l.lag))
}

func (l *list) setFaults(now time.Time, faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	if l.outage && !faults.Membership.Outage {
		l.extend(now)
	}
	l.outage = faults.Membership.Outage
	l.lag = faults.MembershipLag
	switch {
	case !faults.MembershipFrozen:
		l.frozen = nil
	case l.frozen == nil:
		frozen := l.at(now.Add(-l.lag))
		l.frozen = &frozen
	}
}

// extend gives all instances a new term: they couldn't announce themselves.
func (l *list) extend(now time.Time) {
	for id := range l.expiries {
		l.expiries[id] = now.Add(l.term)
	}
	l.nextExpiry = now.Add(l.term)
}

func (l *list) expire(now time.Time) {
	if l.outage || l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	var due []membership.InstanceID
	l.nextExpiry = time.Time{}
	for id, expiry := range l.expiries {
		if !now.Before(expiry) {
			due = append(due, id)
		} else if l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
			l.nextExpiry = expiry
		}
	}
	slices.SortFunc(due, func(a, b membership.InstanceID) int { return l.expiries[a].Compare(l.expiries[b]) })
	for _, id := range due {
		l.remove(l.expiries[id], id)
	}
}

func (l *list) remove(at time.Time, id membership.InstanceID) {
	delete(l.expiries, id)
	l.record(at, id, nil)
}

func (l *list) record(at time.Time, id membership.InstanceID, instance *membership.Instance) {
	l.revision++
	c := change{at: at, revision: l.revision, id: id, instance: instance}
	c.apply(l.now)
	l.history = append(l.history, c)
}

// forget moves the changes up to a time from the history into the past.
func (l *list) forget(until time.Time) {
	count := 0
	for _, c := range l.history {
		if c.at.After(until) {
			break
		}
		c.apply(l.past)
		l.pastRevision = c.revision
		count++
	}
	l.history = slices.Delete(l.history, 0, count)
}

// at returns the list at a time within the history.
func (l *list) at(t time.Time) membership.Snapshot {
	if len(l.history) == 0 || !l.history[len(l.history)-1].at.After(t) {
		return l.latest()
	}
	state, revision := maps.Clone(l.past), l.pastRevision
	for _, c := range l.history {
		if c.at.After(t) {
			break
		}
		c.apply(state)
		revision = c.revision
	}
	return state.snapshot(revision)
}

func (l *list) latest() membership.Snapshot {
	if l.cached.Revision != l.revision {
		l.cached = l.now.snapshot(l.revision)
	}
	return l.cached
}

func (i instances) snapshot(revision uint64) membership.Snapshot {
	sorted := slices.SortedFunc(maps.Values(i), func(a, b membership.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return membership.Snapshot{Revision: revision, Instances: sorted}
}
