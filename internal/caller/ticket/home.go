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
	// Window is how long a ticket can be claimed after it is issued.
	Window = 10 * time.Minute
	// MaxLive bounds the unexpired tickets of an instance. At this bound their bitmaps
	// take 2 MiB, and 28,000 tickets a second can be issued.
	MaxLive = 1 << 24
	// MaxCount is the maximum number of tickets that one request can ask for.
	MaxCount = 1000

	// batchDuration is how long new tickets are added to the same bitmap, so that a home
	// with few requests keeps at most one bitmap for each second of the window.
	batchDuration = time.Second
	wordBits      = 64
)

// ErrFull reports that new tickets would exceed MaxLive.
var ErrFull = errors.New("ticket: too many unexpired tickets")

// Answer is the result of a claim at the home of a ticket.
type Answer string

// Answers. The zero value is not a valid answer.
const (
	Granted        Answer = "Granted"
	AlreadyClaimed Answer = "AlreadyClaimed"
	// Expired also covers tickets that were never issued.
	Expired Answer = "Expired"
	// OtherIncarnation means that another run of the instance issued the ticket. Whether
	// the ticket was claimed is unknown, because claims are kept only in memory.
	OtherIncarnation Answer = "OtherIncarnation"
)

// batch records which tickets are claimed, for tickets with consecutive numbers that
// were issued within batchDuration.
type batch struct {
	// first is the number of the first ticket.
	first    uint64
	count    uint64
	openedAt time.Time
	// claimedBits has one bit for each ticket, set once the ticket is claimed.
	claimedBits []uint64
}

func (b *batch) add(count uint64) {
	b.count += count
	for uint64(len(b.claimedBits))*wordBits < b.count {
		b.claimedBits = append(b.claimedBits, 0)
	}
}

// claim marks a ticket as claimed and reports whether this is its first claim.
func (b *batch) claim(number uint64) bool {
	index := number - b.first
	word, bit := &b.claimedBits[index/wordBits], uint64(1)<<(index%wordBits)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// Home issues the tickets of one incarnation of an entry instance and grants one claim
// of each. It keeps the claims in memory, so they are lost when the process ends.
type Home struct {
	id          membership.InstanceID
	incarnation Incarnation
	clock       clockwork.Clock
	mutex       sync.Mutex
	batches     []*batch
	nextNumber  uint64
	liveTickets uint64
	maxLive     uint64
}

// NewHome returns the Home of a new incarnation of an entry instance.
func NewHome(id membership.InstanceID, clock clockwork.Clock) *Home {
	return &Home{id: id, incarnation: Incarnation(uuid.NewString()), clock: clock, maxLive: MaxLive}
}

// ID returns the id of the entry instance.
func (h *Home) ID() membership.InstanceID {
	return h.id
}

// Issue returns count new tickets. It fails with ErrFull if they would exceed MaxLive.
func (h *Home) Issue(count int) ([]Ticket, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.clock.Now()
	h.dropExpired(now)
	if h.liveTickets+uint64(count) > h.maxLive {
		return nil, ErrFull
	}
	h.currentBatch(now).add(uint64(count))
	h.liveTickets += uint64(count)
	tickets := make([]Ticket, count)
	for i := range tickets {
		tickets[i] = Ticket{Home: h.id, Incarnation: h.incarnation, Number: h.nextNumber}
		h.nextNumber++
	}
	return tickets, nil
}

// currentBatch returns the batch for tickets that are issued now, which may be a new one.
func (h *Home) currentBatch(now time.Time) *batch {
	if last := len(h.batches) - 1; last >= 0 && now.Sub(h.batches[last].openedAt) < batchDuration {
		return h.batches[last]
	}
	b := &batch{first: h.nextNumber, openedAt: now}
	h.batches = append(h.batches, b)
	return b
}

// dropExpired drops the batches whose last ticket is past its window.
func (h *Home) dropExpired(now time.Time) {
	expired := 0
	for _, b := range h.batches {
		if now.Sub(b.openedAt) < Window+batchDuration {
			break
		}
		h.liveTickets -= b.count
		expired++
	}
	clear(h.batches[:expired])
	h.batches = h.batches[expired:]
}

// Claim claims a ticket. It grants the first claim within the ticket's window.
func (h *Home) Claim(t Ticket) Answer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.Home != h.id || t.Incarnation != h.incarnation {
		return OtherIncarnation
	}
	h.dropExpired(h.clock.Now())
	// next is the index of the first batch that starts after the ticket's number.
	next := sort.Search(len(h.batches), func(i int) bool { return h.batches[i].first > t.Number })
	if next == 0 {
		return Expired
	}
	b := h.batches[next-1]
	switch {
	case t.Number-b.first >= b.count:
		return Expired
	case b.claim(t.Number):
		return Granted
	}
	return AlreadyClaimed
}
