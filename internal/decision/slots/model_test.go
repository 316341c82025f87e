package slots

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// step is the resolution of the model in simulated time.
const step = 100 * time.Millisecond

// skewedClock is a clock with its own rate and offset.
type skewedClock struct {
	rate   float64
	offset time.Duration
}

// peer is a simulated entry instance.
type peer struct {
	skewedClock
	id          membership.InstanceID
	holder      *Holder
	uses        []*Use
	frozenUntil time.Duration
	inbox       []func()
}

// model simulates the owner of a shard, its holders and their messages, with clock
// drift, message loss, delays and frozen instances.
type model struct {
	random     *rand.Rand
	config     Config
	now        time.Duration
	queue      map[time.Duration][]func()
	peers      []*peer
	members    []membership.InstanceID
	executors  []Executor
	ownerClock skewedClock
	allocator  *Allocator
	epoch      worker.Epoch
}

// clock returns the simulated time as shown by a clock.
func (m *model) clock(s skewedClock) time.Time {
	return time.Unix(1, 0).Add(s.offset + time.Duration(float64(m.now)*s.rate))
}

func (m *model) newClock() skewedClock {
	rates := []float64{1 - m.config.MaxClockDrift, 1, 1 + m.config.MaxClockDrift}
	return skewedClock{rate: rates[m.random.IntN(3)], offset: time.Duration(m.random.Int64N(int64(time.Hour)))}
}

// send runs a function after a delay, which is sometimes much longer. It sometimes
// loses the message and never runs the function.
func (m *model) send(run func()) {
	delay := m.random.Int64N(3)
	switch m.random.IntN(10) {
	case 0:
		return
	case 1:
		delay = m.random.Int64N(60)
	}
	at := m.now + time.Duration(delay+1)*step
	m.queue[at] = append(m.queue[at], run)
}

// call sends a request from a peer to the owner, and the answer back.
func (m *model) call(p *peer, serve func(a *Allocator, now time.Time) func()) {
	m.send(func() {
		answer := serve(m.allocator, m.clock(m.ownerClock))
		m.send(func() { p.inbox = append(p.inbox, answer) })
	})
}

// takeOver replaces the owner by one with a new allocator and the next epoch. The random
// fences of advance reach the peers later.
func (m *model) takeOver() {
	m.epoch++
	m.ownerClock = m.newClock()
	m.allocator = NewAllocator(m.clock(m.ownerClock), m.epoch, m.config, m.epoch == 1)
	for _, e := range m.executors {
		m.allocator.SetExecutor(e)
	}
}

// fence sends a peer the owner's fence, and its report back.
func (m *model) fence(p *peer) {
	allocator, epoch := m.allocator, m.epoch
	m.send(func() {
		p.inbox = append(p.inbox, func() {
			report, err := p.holder.Fence(m.clock(p.skewedClock), epoch)
			if err == nil {
				m.send(func() { allocator.Restore(m.clock(m.ownerClock), report) })
			}
		})
	})
}

// runRandomAction delivers a peer's messages, ends its overdue uses and performs one
// random action.
func (m *model) runRandomAction(p *peer) {
	now := m.clock(p.skewedClock)
	for _, run := range p.inbox {
		run()
	}
	p.inbox = nil
	for _, use := range p.holder.Tick(now) {
		p.holder.Release(use)
	}
	switch m.random.IntN(9) {
	case 0:
		m.call(p, func(a *Allocator, ownerTime time.Time) func() {
			epoch := m.epoch
			grants := a.Acquire(ownerTime, Request{Holder: p.id, Service: "s", Want: Amount{2, 3}, Waiting: m.random.IntN(4)})
			return func() { _ = p.holder.AddGrants(now, epoch, grants) }
		})
	case 1:
		m.call(p, func(a *Allocator, ownerTime time.Time) func() {
			epoch := m.epoch
			grants := a.AcquireBase(ownerTime, p.id, m.members)
			return func() { _ = p.holder.AddGrants(now, epoch, grants) }
		})
	case 2:
		renewals := p.holder.Renewals(now)
		m.call(p, func(a *Allocator, ownerTime time.Time) func() {
			epoch, ids := m.epoch, a.Renew(ownerTime, p.id, renewals)
			return func() { _ = p.holder.ExtendGrants(now, epoch, ids) }
		})
	case 3:
		for _, held := range p.holder.sorted() {
			if keep, held := p.holder.ReturnUnused(held.grant.ID, Amount{m.random.IntN(2), m.random.IntN(2)}); held {
				m.send(func() { m.allocator.Return(p.id, keep) })
			}
		}
	case 4, 5, 6:
		m.startRandomUse(p, now)
	case 7:
		if len(p.uses) > 0 {
			use := p.uses[m.random.IntN(len(p.uses))]
			p.holder.ReleaseFeedSlot(use)
			if m.random.IntN(2) == 0 {
				p.holder.Release(use)
			}
		}
	}
	if m.random.IntN(100) == 0 {
		p.frozenUntil = m.now + time.Duration(m.random.IntN(300))*step
	}
}

// startRandomUse starts a request or feed on a random executor.
func (m *model) startRandomUse(p *peer, now time.Time) {
	executor := m.executors[m.random.IntN(len(m.executors))].ID
	use, ok := p.holder.Acquire(now, []membership.InstanceID{executor}, m.random.IntN(4) == 0)
	if ok {
		p.uses = append(p.uses, use)
	}
}

// advance runs one step of simulated time.
func (m *model) advance() {
	m.now += step
	for _, run := range m.queue[m.now] {
		run()
	}
	delete(m.queue, m.now)
	for _, p := range m.peers {
		if m.now >= p.frozenUntil {
			m.runRandomAction(p)
		}
		if m.random.IntN(10) == 0 {
			m.fence(p)
		}
	}
	if m.random.IntN(10) == 0 {
		for _, g := range m.allocator.GrantsToRecall(m.clock(m.ownerClock), m.members) {
			m.recall(g)
		}
	}
	if m.random.IntN(150) == 0 {
		m.takeOver()
	}
}

// recall sends a recall to the holder of a grant.
func (m *model) recall(g Grant) {
	for _, p := range m.peers {
		if p.id != g.Holder {
			continue
		}
		m.send(func() {
			p.inbox = append(p.inbox, func() {
				if keep, held := p.holder.Recall(g.ID); held {
					m.send(func() { m.allocator.Return(p.id, keep) })
				}
			})
		})
	}
}

// maxLoad returns the most that could run on an executor now: what holders may start plus
// what runs. A use ends at its deadline even when its holder is frozen.
func (m *model) maxLoad(e Executor) Amount {
	var total Amount
	for _, p := range m.peers {
		now := m.clock(p.skewedClock)
		total = total.plus(unused(p.holder, now, e.ID).clampToZero())
		for use := range p.holder.uses {
			if use.Executor != e.ID || !now.Before(use.deadline()) {
				continue
			}
			total.Connections++
			if use.usesSlot {
				total.Slots++
			}
		}
	}
	return total
}

// checkModel runs a random model for 60 s of simulated time. It guards against granting more
// of an executor than its capacity.
func checkModel(t *rapid.T) {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		config: Config{DemandTerm: 5 * time.Second, BaseTerm: 15 * time.Second, MaxGrantsPerCall: 4, MaxExecutorsPerCall: 4},
		queue:  map[time.Duration][]func(){},
	}
	m.config.MaxClockDrift = rapid.SampledFrom([]float64{0.01, 0.05}).Draw(t, "drift")
	for i := range rapid.IntRange(1, 3).Draw(t, "executors") {
		capacity := Amount{rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 12).Draw(t, "connections")}
		m.executors = append(m.executors, Executor{ID: membership.InstanceID(fmt.Sprint("executor-", i)), Service: "s", Capacity: capacity, MaxDuration: 2 * time.Second})
	}
	for i := range rapid.IntRange(2, 4).Draw(t, "peers") {
		id := membership.InstanceID(fmt.Sprint("entry-", i))
		m.members = append(m.members, id)
		m.peers = append(m.peers, &peer{skewedClock: m.newClock(), id: id, holder: NewHolder(id)})
	}
	m.takeOver()
	for m.now < 60*time.Second {
		m.advance()
		for _, e := range m.executors {
			if load := m.maxLoad(e); load.Slots > e.Capacity.Slots || load.Connections > e.Capacity.Connections {
				t.Fatalf("at %v executor %s with capacity %+v could run %+v", m.now, e.ID, e.Capacity, load)
			}
		}
	}
}

func TestModel(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
				t.Fatal(err)
			}
			t.Logf("rapid seed %d", seed)
			rapid.Check(t, checkModel)
		})
	}
}

// unused returns the free amount of a holder on an executor, including slots without a
// free connection.
func unused(h *Holder, now time.Time, executor membership.InstanceID) (free Amount) {
	for _, held := range h.byExecutor[executor] {
		if !held.recalled && now.Before(held.expiry) {
			free = free.plus(held.grant.Amount.minus(held.used))
		}
	}
	return free
}
