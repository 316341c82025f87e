// Package replacement detects from the list of workers that those of a pool are being replaced one after
// the other.
//
// It keeps its observations of the last seconds in memory only. A new owner of the workers derives the same
// state from the lists that it receives.
package replacement

import (
	"maps"
	"slices"
	"time"
)

const (
	// window is the time within which workers leave and arrive that belong to one replacement.
	window = 20 * time.Second
	// quietTime is the time without departures and arrivals after which a replacement has ended.
	quietTime = 10 * time.Second
	// leadTime is how long before the first departure the first worker of a replacement arrives at most.
	leadTime = 5 * time.Second
	// minDepartures and minArrivals are how many workers must have left and arrived. minSameVersionArrivals
	// applies if they have the same version.
	minDepartures          = 3
	minArrivals            = 2
	minSameVersionArrivals = 3
)

// Pool names a pool of workers of one service.
type Pool string

// Version is the version of a worker's software. It is empty if the worker didn't report it.
type Version string

// Worker is an entry of the list of workers.
type Worker struct {
	ID      string
	Pool    Pool
	Version Version
	// Born is when the worker's process started, by its own clock. It is zero if that isn't known.
	Born     time.Time
	Draining bool
}

// Event reports that a replacement began or ended.
type Event struct {
	Pool Pool
	// Ended is false if the replacement began.
	Ended bool
	// From and To are the versions of the workers that leave and arrive.
	From, To Version
	// Took is how long the replacement was under way if it has ended.
	Took time.Duration
}

// Detector follows the lists of workers. The zero value has observed none.
type Detector struct {
	pools map[Pool]*pool
	// seen reports that a list has been observed.
	seen bool
}

// Observe evaluates a list of workers, and returns which replacements began or ended.
func (d *Detector) Observe(now time.Time, list []Worker) []Event {
	if d.pools == nil {
		d.pools = map[Pool]*pool{}
	}
	for _, p := range d.pools {
		p.listNumber++
	}
	for _, w := range list {
		p := d.pools[w.Pool]
		if p == nil {
			p = &pool{members: map[string]*member{}, listNumber: 1}
			d.pools[w.Pool] = p
		}
		p.observe(now, w, !d.seen)
	}
	d.seen = true
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[name]
		p.removeUnlisted(now)
		events = p.update(now, name, events)
	}
	return events
}

// Expire returns which replacements have ended because nothing has left or arrived for a while.
func (d *Detector) Expire(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		if p := d.pools[name]; p.current != nil && now.Sub(p.changedAt) >= quietTime {
			events = p.end(now, name, events)
		}
	}
	return events
}

// IsUnderWay reports whether the workers of the pool are being replaced.
func (d *Detector) IsUnderWay(name Pool) bool {
	p := d.pools[name]
	return p != nil && p.current != nil
}

// IsAnyUnderWay reports whether the workers of any pool are being replaced.
func (d *Detector) IsAnyUnderWay() bool {
	for _, p := range d.pools {
		if p.current != nil {
			return true
		}
	}
	return false
}

// IsArriving reports whether a worker is one of those that replace others. It is false if no replacement is
// under way.
func (d *Detector) IsArriving(name Pool, id string) bool {
	p := d.pools[name]
	if p == nil || p.current == nil {
		return false
	}
	m := p.members[id]
	return m != nil && p.current.isArriving(m)
}

// change is a departure or an arrival of a worker.
type change struct {
	version Version
	at      time.Time
	// earliest is the earliest time at which it may have happened.
	earliest time.Time
	// drained is false if a worker disappeared from the list without draining.
	drained bool
}

// member is a worker of a pool that is listed, or was within the window.
type member struct {
	version Version
	// joinedAt is when the worker joined, or zero if it was there before the first list.
	joinedAt   time.Time
	born       time.Time
	draining   bool
	listNumber int
	// unlistedAt is when the worker was first missing from a list, or zero.
	unlistedAt time.Time
}

// isSameProcess reports whether an entry describes the same process as the member.
func (m *member) isSameProcess(w Worker) bool {
	switch {
	case m.version != w.Version, m.draining && !w.Draining:
		return false
	case m.unlistedAt.IsZero():
		return true
	}
	return !w.Born.IsZero() && m.born.Equal(w.Born)
}

// activeReplacement is a replacement that is under way.
type activeReplacement struct {
	from, to Version
	// began is when the replacement was detected, and since the earliest time at which a worker of it can have
	// arrived.
	began, since time.Time
}

type pool struct {
	members    map[string]*member
	departures []change
	arrivals   []change
	current    *activeReplacement
	// changedAt is when a worker last left or arrived.
	changedAt time.Time
	// listNumber is the number of the last list. Members with a lower one aren't in it.
	listNumber int
}

// observe applies the entry of a worker. When the workers of the first list began to drain isn't known. A
// worker whose id is listed again after it drained, or with another version, counts as a new arrival. One
// that is listed again with the same process doesn't, because entries expire while the store is unavailable.
func (p *pool) observe(now time.Time, w Worker, first bool) {
	m := p.members[w.ID]
	if m != nil && m.version != w.Version && !m.draining && m.unlistedAt.IsZero() {
		p.addDeparture(now, change{version: m.version, at: now, earliest: now, drained: true})
	}
	if m == nil || !m.isSameProcess(w) {
		m = &member{version: w.Version}
		p.members[w.ID] = m
		if !w.Draining {
			p.addArrival(now, m, w.Born, first)
		}
	}
	if w.Draining && !m.draining {
		c := change{version: w.Version, at: now, earliest: now, drained: true}
		if first {
			c.earliest = now.Add(-window)
		}
		p.addDeparture(now, c)
	}
	m.draining, m.listNumber, m.born, m.unlistedAt = w.Draining, p.listNumber, w.Born, time.Time{}
}

func (p *pool) addDeparture(now time.Time, c change) {
	p.departures = append(p.departures, c)
	p.changedAt = now
}

// addArrival records that a worker joined. A worker of the first list did if its process started recently.
func (p *pool) addArrival(now time.Time, m *member, born time.Time, first bool) {
	switch {
	case !first:
		m.joinedAt = now
	case isRecent(now, born):
		m.joinedAt = born
	default:
		return
	}
	p.arrivals = append(p.arrivals, change{version: m.version, at: m.joinedAt, earliest: m.joinedAt})
	p.changedAt = now
}

// isRecent reports whether a process started within the window.
func isRecent(now, born time.Time) bool {
	return !born.IsZero() && now.Sub(born) < window
}

// removeUnlisted marks the members that the last list doesn't have, and removes them after a while.
func (p *pool) removeUnlisted(now time.Time) {
	for id, m := range p.members {
		switch {
		case m.listNumber == p.listNumber:
			continue
		case !m.unlistedAt.IsZero():
			if now.Sub(m.unlistedAt) >= window {
				delete(p.members, id)
			}
			continue
		}
		m.unlistedAt = now
		if !m.draining {
			p.addDeparture(now, change{version: m.version, at: now, earliest: now})
		}
	}
	p.departures, p.arrivals = latest(now, p.departures), latest(now, p.arrivals)
}

// latest removes the changes that are older than the window.
func latest(now time.Time, list []change) []change {
	kept := list[:0]
	for _, c := range list {
		if now.Sub(c.at) < window {
			kept = append(kept, c)
		}
	}
	return kept
}

// update ends the active replacement if it is complete, quiet or superseded, and begins a detected one.
func (p *pool) update(now time.Time, name Pool, events []Event) []Event {
	next := p.detect()
	if c := p.current; c != nil {
		isOther := next != nil && next.to != c.to
		if !isOther && !p.isComplete(c) && now.Sub(p.changedAt) < quietTime {
			return events
		}
		events = p.end(now, name, events)
	}
	if next == nil || p.isComplete(next) || now.Sub(p.changedAt) >= quietTime {
		return events
	}
	next.began = now
	p.current = next
	return append(events, Event{Pool: name, From: next.from, To: next.to})
}

func (p *pool) end(now time.Time, name Pool, events []Event) []Event {
	c := p.current
	p.current = nil
	return append(events, Event{Pool: name, Ended: true, From: c.from, To: c.to, Took: now.Sub(c.began)})
}

// detect returns the replacement that the changes within the window amount to, or nil. Workers of the
// arriving version count as leaving only if they drained. Otherwise workers that crash and restart would look
// like a replacement.
func (p *pool) detect() *activeReplacement {
	to, _ := mostFrequent(p.arrivals)
	from, left := mostFrequent(p.departuresMatching(func(c change) bool { return c.version != to }))
	if left < minDepartures {
		from, left = mostFrequent(p.departuresMatching(func(c change) bool { return c.version == to && c.drained }))
	}
	if left < minDepartures {
		return nil
	}
	c := &activeReplacement{from: from, to: to, since: p.firstDeparture(from).Add(-leadTime)}
	arrived := 0
	for _, a := range p.arrivals {
		if a.version == to && !a.at.Before(c.since) {
			arrived++
		}
	}
	if arrived < minArrivals || from == to && arrived < minSameVersionArrivals {
		return nil
	}
	return c
}

func (p *pool) departuresMatching(count func(change) bool) []change {
	list := make([]change, 0, len(p.departures))
	for _, c := range p.departures {
		if count(c) {
			list = append(list, c)
		}
	}
	return list
}

// mostFrequent returns the version of most of the changes, and their number.
func mostFrequent(list []change) (Version, int) {
	numbers := map[Version]int{}
	best, most := Version(""), 0
	for _, c := range list {
		numbers[c.version]++
		if numbers[c.version] > most {
			best, most = c.version, numbers[c.version]
		}
	}
	return best, most
}

func (p *pool) firstDeparture(v Version) time.Time {
	first := time.Time{}
	for _, c := range p.departures {
		if c.version == v && (first.IsZero() || c.earliest.Before(first)) {
			first = c.earliest
		}
	}
	return first
}

// isArriving reports whether a member is one of those that replace others.
func (c *activeReplacement) isArriving(m *member) bool {
	if c.from != c.to {
		return m.version == c.to
	}
	return !m.joinedAt.IsZero() && !m.joinedAt.Before(c.since)
}

// isComplete reports whether at least one worker is listed, and all listed ones have arrived in the
// replacement.
func (p *pool) isComplete(c *activeReplacement) bool {
	listed := false
	for _, m := range p.members {
		if !m.unlistedAt.IsZero() {
			continue
		}
		if m.draining || !c.isArriving(m) {
			return false
		}
		listed = true
	}
	return listed
}
