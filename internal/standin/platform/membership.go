package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

type instanceSet map[membership.InstanceID]membership.Instance

// change is a change to the membership list. If instance is nil, the instance with the
// id was removed.
type change struct {
	changedAt time.Time
	revision  uint64
	id        membership.InstanceID
	instance  *membership.Instance
}

func (c change) applyTo(set instanceSet) {
	if c.instance == nil {
		delete(set, c.id)
		return
	}
	set[c.id] = *c.instance
}

// membershipList is the membership list with its changes during MaxMembershipLag.
type membershipList struct {
	announceTerm time.Duration

	mutex          sync.Mutex
	outage         bool
	lag            time.Duration
	frozenSnapshot *membership.Snapshot // nil unless the fault MembershipFrozen is set
	expiries       map[membership.InstanceID]time.Time
	// nextExpiry is no later than the earliest expiry, so that most calls don't have to
	// check all instances.
	nextExpiry time.Time

	current  instanceSet
	revision uint64
	// oldest is the list before the first change in history.
	oldest         instanceSet
	oldestRevision uint64
	history        []change

	latestSnapshot membership.Snapshot
}

// newMembershipList returns an empty list. Its first revision is the Unix time in
// milliseconds, so that its revisions exceed those of an earlier process at the same
// address.
func newMembershipList(now time.Time, announceTerm time.Duration) *membershipList {
	revision := uint64(now.UnixMilli())
	return &membershipList{
		announceTerm:   announceTerm,
		expiries:       map[membership.InstanceID]time.Time{},
		current:        instanceSet{},
		revision:       revision,
		oldest:         instanceSet{},
		oldestRevision: revision,
		latestSnapshot: membership.Snapshot{Revision: revision},
	}
}

func (l *membershipList) announce(now time.Time, instance membership.Instance) error {
	if err := instance.Validate(); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeExpired(now)
	expiry := now.Add(l.announceTerm)
	l.expiries[instance.ID] = expiry
	if l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
		l.nextExpiry = expiry
	}
	if known, ok := l.current[instance.ID]; !ok || known != instance {
		l.record(now, instance.ID, &instance)
	}
	return nil
}

func (l *membershipList) withdraw(now time.Time, id membership.InstanceID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeExpired(now)
	if _, ok := l.current[id]; ok {
		l.remove(now, id)
	}
}

// visibleSnapshot returns the list as callers see it with the current faults.
func (l *membershipList) visibleSnapshot(now time.Time) membership.Snapshot {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeExpired(now)
	l.trimHistory(now.Add(-MaxMembershipLag))
	if l.frozenSnapshot != nil {
		return *l.frozenSnapshot
	}
	return l.snapshotAt(now.Add(-l.lag))
}

func (l *membershipList) setFaults(now time.Time, faults Faults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeExpired(now)
	if l.outage && !faults.Membership.Outage {
		l.renewAll(now)
	}
	l.outage = faults.Membership.Outage
	l.lag = faults.MembershipLag
	switch {
	case !faults.MembershipFrozen:
		l.frozenSnapshot = nil
	case l.frozenSnapshot == nil:
		snapshot := l.snapshotAt(now.Add(-l.lag))
		l.frozenSnapshot = &snapshot
	}
}

// renewAll restarts the announcement term of all instances, because they couldn't
// announce themselves during an outage.
func (l *membershipList) renewAll(now time.Time) {
	for id := range l.expiries {
		l.expiries[id] = now.Add(l.announceTerm)
	}
	l.nextExpiry = now.Add(l.announceTerm)
}

func (l *membershipList) removeExpired(now time.Time) {
	if l.outage || l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	var expired []membership.InstanceID
	l.nextExpiry = time.Time{}
	for id, expiry := range l.expiries {
		if !now.Before(expiry) {
			expired = append(expired, id)
		} else if l.nextExpiry.IsZero() || expiry.Before(l.nextExpiry) {
			l.nextExpiry = expiry
		}
	}
	slices.SortFunc(expired, func(a, b membership.InstanceID) int { return l.expiries[a].Compare(l.expiries[b]) })
	for _, id := range expired {
		l.remove(l.expiries[id], id)
	}
}

func (l *membershipList) remove(at time.Time, id membership.InstanceID) {
	delete(l.expiries, id)
	l.record(at, id, nil)
}

func (l *membershipList) record(at time.Time, id membership.InstanceID, instance *membership.Instance) {
	l.revision++
	c := change{changedAt: at, revision: l.revision, id: id, instance: instance}
	c.applyTo(l.current)
	l.history = append(l.history, c)
}

// trimHistory applies the changes up to a time to oldest and removes them from the
// history.
func (l *membershipList) trimHistory(until time.Time) {
	count := 0
	for _, c := range l.history {
		if c.changedAt.After(until) {
			break
		}
		c.applyTo(l.oldest)
		l.oldestRevision = c.revision
		count++
	}
	l.history = slices.Delete(l.history, 0, count)
}

// snapshotAt returns the list as it was at a time within the history.
func (l *membershipList) snapshotAt(t time.Time) membership.Snapshot {
	if len(l.history) == 0 || !l.history[len(l.history)-1].changedAt.After(t) {
		return l.currentSnapshot()
	}
	instances, revision := maps.Clone(l.oldest), l.oldestRevision
	for _, c := range l.history {
		if c.changedAt.After(t) {
			break
		}
		c.applyTo(instances)
		revision = c.revision
	}
	return instances.snapshot(revision)
}

func (l *membershipList) currentSnapshot() membership.Snapshot {
	if l.latestSnapshot.Revision != l.revision {
		l.latestSnapshot = l.current.snapshot(l.revision)
	}
	return l.latestSnapshot
}

func (s instanceSet) snapshot(revision uint64) membership.Snapshot {
	sorted := slices.SortedFunc(maps.Values(s), func(a, b membership.Instance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return membership.Snapshot{Revision: revision, Instances: sorted}
}
