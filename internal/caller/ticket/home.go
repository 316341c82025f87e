package ticket

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// Window is how long a ticket can be claimed after it was issued.
	Window = 10 * time.Minute
	// MaxLive bounds the tickets in their window. Their bitmaps take 2 MiB, and
	// 28,000 tickets a second can be issued.
	MaxLive = 1 << 24
	// MaxCount bounds the tickets of one request.
	MaxCount = 1000

	// batchTime bounds the time over which tickets share a bitmap, so that an idle
	// home keeps at most one bitmap for each second of the window.
	batchTime = time.Second
	wordBits  = 64
)

// ErrFull reports that MaxLive tickets are in their window.
var ErrFull = errors.New("ticket: too many tickets are in their window")

// Answer is the result of a claim at the home of a ticket.
type Answer string

// Answers. The zero value is no answer.
const (
	Granted        Answer = "Granted"
	AlreadyClaimed Answer = "AlreadyClaimed"
	// Expired also covers tickets that were never issued.
	Expired Answer = "Expired"
	// OtherIncarnation means that the run that issued the ticket is over, so nobody
	// knows whether it was claimed.
	OtherIncarnation Answer = "OtherIncarnation"
)

// batch holds the claims of consecutive tickets that were issued within batchTime.
type batch struct {
	first   uint64
	count   uint64
	opened  time.Time
	claimed []uint64
}

func (b *batch) add(count uint64) {
	b.count += count
	for uint64(len(b.claimed))*wordBits < b.count {
		b.claimed = append(b.claimed, 0)
	}
}

// claim reports whether this is the first claim of a number.
func (b *batch) claim(number uint64) bool {
	index := number - b.first
	word, bit := &b.claimed[index/wordBits], uint64(1)<<(index%wordBits)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// Home issues tickets and grants each claim once. It lives as long as the process.
type Home struct {
	id          membership.InstanceID
	incarnation Incarnation
	clock       clockwork.Clock
	mutex       sync.Mutex
	batches     []*batch
	next        uint64
	live        uint64
	limit       uint64
}

// NewHome returns the home of a new incarnation of an entry instance.
func NewHome(id membership.InstanceID, clock clockwork.Clock) *Home {
	return &Home{id: id, incarnation: Incarnation(uuid.NewString()), clock: clock, limit: MaxLive}
}

// ID returns the entry instance.
func (h *Home) ID() membership.InstanceID {
	return h.id
}

// Issue returns new tickets. It fails with ErrFull.
func (h *Home) Issue(count int) ([]Ticket, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.clock.Now()
	h.expire(now)
	if h.live+uint64(count) > h.limit {
		return nil, ErrFull
	}
	h.open(now).add(uint64(count))
	h.live += uint64(count)
	tickets := make([]Ticket, count)
	for i := range tickets {
		tickets[i] = Ticket{Home: h.id, Incarnation: h.incarnation, Number: h.next}
		h.next++
	}
	return tickets, nil
}

// open returns the batch for tickets issued now.
func (h *Home) open(now time.Time) *batch {
	if last := len(h.batches) - 1; last >= 0 && now.Sub(h.batches[last].opened) < batchTime {
		return h.batches[last]
	}
	b := &batch{first: h.next, opened: now}
	h.batches = append(h.batches, b)
	return b
}

// expire drops the batches whose last ticket is past its window.
func (h *Home) expire(now time.Time) {
	dropped := 0
	for _, b := range h.batches {
		if now.Sub(b.opened) < Window+batchTime {
			break
		}
		h.live -= b.count
		dropped++
	}
	clear(h.batches[:dropped])
	h.batches = h.batches[dropped:]
}

// Claim grants the first claim of a ticket within its window.
func (h *Home) Claim(t Ticket) Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.Home != h.id || t.Incarnation != h.incarnation {
		return OtherIncarnation
	}
	h.expire(h.clock.Now())
	after := sort.Search(len(h.batches), func(i int) bool { return h.batches[i].first > t.Number })
	if after == 0 {
		return Expired
	}
	b := h.batches[after-1]
	switch {
	case t.Number-b.first >= b.count:
		return Expired
	case b.claim(t.Number):
		return Granted
	}
	return AlreadyClaimed
}
