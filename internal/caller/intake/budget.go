package intake

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

var (
	// ErrExhausted reports that the budget has no bytes left for a request.
	ErrExhausted = errors.New("intake: the memory for requests is used up")
	// ErrEnded reports that a request was ended while it arrived, to free bytes for others.
	ErrEnded = errors.New("intake: the request arrived too slowly while the memory for requests was used up")
	// ErrStalled reports that a body didn't arrive in time.
	ErrStalled = errors.New("intake: the body didn't arrive in time")
)

const (
	// smallRequestBytes of each request, with what its header needs, may come from the reserve.
	smallRequestBytes Bytes = 16 << 10
	// reserveShare of the budget is kept for the first bytes of requests.
	reserveShare = 4
	// loneShare times the budget is for a request that is the only one, so that a request of the
	// largest configured size is served in calm.
	loneShare = budgetShare / 2
	// minReadingTime is the time that a request has to arrive even if others need its bytes.
	minReadingTime = time.Second
)

// Budget bounds the bytes that a process holds for requests. When it is used up, the requests
// that have been arriving for longest are ended, so that callers that send a request and never
// finish it can't keep others out. A nil Budget grants everything.
type Budget struct {
	// LargestRequest returns what the largest request that is configured needs. A request that is the
	// only one may take that much. It may be nil, and must be set before the budget is used.
	LargestRequest func() Bytes

	total, reserve Bytes

	lock sync.Mutex
	used Bytes
	// reading has the leases of requests that are arriving, the oldest first.
	reading list.List
}

// NewBudget returns a budget of the given size.
func NewBudget(total Bytes) *Budget {
	return &Budget{total: total, reserve: total / reserveShare}
}

// Used returns the bytes that are held.
func (b *Budget) Used() Bytes {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.used
}

// Lease is what one request holds of a budget. A nil Lease grants everything.
type Lease struct {
	budget *Budget
	// end interrupts the read of the request. It must not block.
	end func()

	// The budget's lock guards the other fields.
	bytes Bytes
	since time.Time
	// element is the place in the budget's list while the request arrives.
	element *list.Element
	ended   bool
}

// NewLease returns a lease that holds nothing. The budget calls end to interrupt the read of
// the request.
func (b *Budget) NewLease(end func()) *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, end: end}
}

// Reading says that the request arrives from now on, so that it may be ended.
func (l *Lease) Reading(now time.Time) {
	if l == nil {
		return
	}
	l.budget.lock.Lock()
	defer l.budget.lock.Unlock()
	if l.element == nil && !l.ended {
		l.since = now
		l.element = l.budget.reading.PushBack(l)
	}
}

// Received says that the request, or a part of it, has arrived completely. It isn't ended from
// now on. If it has been ended before, its bytes are given back and Received fails with ErrEnded.
func (l *Lease) Received() error {
	if l == nil {
		return nil
	}
	l.budget.lock.Lock()
	defer l.budget.lock.Unlock()
	l.stopReading()
	if l.ended {
		return ErrEnded
	}
	return nil
}

// stopReading removes the lease from the list. The lock must be held.
func (l *Lease) stopReading() {
	if l.element != nil {
		l.budget.reading.Remove(l.element)
		l.element = nil
	}
}

// Take takes bytes, before memory is allocated for them. It fails with ErrExhausted or ErrEnded.
func (l *Lease) Take(now time.Time, n Bytes) error {
	if l == nil {
		return nil
	}
	ended, err := l.take(now, n)
	for _, other := range ended {
		other.end()
	}
	return err
}

// take is Take without interrupting the reads of the leases that it returns as ended.
func (l *Lease) take(now time.Time, n Bytes) (ended []*Lease, err error) {
	b := l.budget
	b.lock.Lock()
	defer b.lock.Unlock()
	if l.ended {
		return nil, ErrEnded
	}
	ended, enough := b.toEnd(now, l, b.used+n-b.limitFor(l, n), l.bytes+n > smallRequestBytes)
	if !enough {
		return nil, ErrExhausted
	}
	for _, other := range ended {
		other.giveBack(other.bytes)
		other.stopReading()
		other.ended = true
	}
	b.used += n
	l.bytes += n
	return ended, nil
}

// limitFor returns how many bytes may be held in all once l has taken n more. The lock must be held.
func (b *Budget) limitFor(l *Lease, n Bytes) Bytes {
	switch {
	case b.used == l.bytes && b.LargestRequest != nil:
		return max(b.total*loneShare, b.LargestRequest())
	case b.used == l.bytes:
		return b.total * loneShare
	case l.bytes+n > smallRequestBytes:
		return b.total - b.reserve
	}
	return b.total
}

// toEnd selects the requests to end so that missing bytes get free for l, those first that have been
// arriving for longest. It reports false if ending all that may be ended isn't enough. If keepSmall is set,
// small requests keep the reserve. The lock must be held.
func (b *Budget) toEnd(now time.Time, l *Lease, missing Bytes, keepSmall bool) (selected []*Lease, enough bool) {
	if missing <= 0 {
		return nil, true
	}
	spare := b.total
	if keepSmall {
		spare = b.smallArriving(l) - b.reserve
	}
	for element := b.reading.Front(); element != nil && missing > 0; element = element.Next() {
		other := element.Value.(*Lease)
		if now.Sub(other.since) < minReadingTime {
			break
		}
		if other == l || other.bytes == 0 {
			continue
		}
		if other.bytes <= smallRequestBytes {
			if other.bytes > spare {
				continue
			}
			spare -= other.bytes
		}
		selected = append(selected, other)
		missing -= other.bytes
	}
	// A large one that came last may make earlier ones unnecessary.
	needed := selected[:0]
	for _, other := range selected {
		if missing+other.bytes <= 0 {
			missing += other.bytes
			continue
		}
		needed = append(needed, other)
	}
	return needed, missing <= 0
}

// smallArriving returns what small requests other than l that are arriving hold. The lock must be held.
func (b *Budget) smallArriving(l *Lease) Bytes {
	var sum Bytes
	for element := b.reading.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*Lease); other != l && other.bytes <= smallRequestBytes {
			sum += other.bytes
		}
	}
	return sum
}

// Give gives back some of the bytes.
func (l *Lease) Give(n Bytes) {
	if l == nil {
		return
	}
	l.budget.lock.Lock()
	defer l.budget.lock.Unlock()
	l.giveBack(n)
}

// giveBack gives back bytes, at most those that the lease holds. The lock must be held.
func (l *Lease) giveBack(n Bytes) {
	n = min(n, l.bytes)
	l.bytes -= n
	l.budget.used -= n
}

// Release gives back all bytes, after which the lease can be used for another request.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.lock.Lock()
	defer l.budget.lock.Unlock()
	l.stopReading()
	l.giveBack(l.bytes)
	l.ended = false
}

// wasEnded reports whether the budget has ended the request.
func (l *Lease) wasEnded() bool {
	if l == nil {
		return false
	}
	l.budget.lock.Lock()
	defer l.budget.lock.Unlock()
	return l.ended
}
