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

const step = 100 * time.Millisecond

type side struct {
	rate   float64
	offset time.Duration
}

// peer is an entry instance of the model.
type peer struct {
	side
	id     membership.InstanceID
	holder *Holder
	uses   []*Use
	frozen time.Duration
	inbox  []func()
}

type model struct {
	random    *rand.Rand
	terms     Terms
	now       time.Duration
	queue     map[time.Duration][]func()
	peers     []*peer
	members   []membership.InstanceID
	executors []Executor
	owner     side
	ledger    *Ledger
	epoch     worker.Epoch
}

func (m *model) clock(s side) time.Time {
	return time.Unix(1, 0).Add(s.offset + time.Duration(float64(m.now)*s.rate))
}

func (m *model) newSide() side {
	rates := []float64{1 - m.terms.Drift, 1, 1 + m.terms.Drift}
	return side{rate: rates[m.random.IntN(3)], offset: time.Duration(m.random.Int64N(int64(time.Hour)))}
}

// send runs something later, or never; now and then much later.
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

// call sends a request from a peer to the owner and its answer back.
func (m *model) call(p *peer, serve func(l *Ledger, now time.Time) func()) {
	m.send(func() {
		answer := serve(m.ledger, m.clock(m.owner))
		m.send(func() { p.inbox = append(p.inbox, answer) })
	})
}

// takeOver replaces the owner and fences the peers.
func (m *model) takeOver() {
	m.epoch++
	m.owner = m.newSide()
	m.ledger = NewLedger(m.clock(m.owner), m.epoch, m.terms, m.epoch == 1)
	for _, e := range m.executors {
		m.ledger.SetExecutor(e)
	}
}

func (m *model) fence(p *peer) {
	ledger, epoch := m.ledger, m.epoch
	m.send(func() {
		p.inbox = append(p.inbox, func() {
			report, err := p.holder.Fence(m.clock(p.side), epoch)
			if err == nil {
				m.send(func() { ledger.Restore(m.clock(m.owner), report) })
			}
		})
	})
}

// act lets a peer do something random.
func (m *model) act(p *peer) {
	now := m.clock(p.side)
	for _, run := range p.inbox {
		run()
	}
	p.inbox = nil
	for _, use := range p.holder.Tick(now) {
		p.holder.Put(use)
	}
	switch m.random.IntN(9) {
	case 0:
		m.call(p, func(l *Ledger, owned time.Time) func() {
			epoch := m.epoch
			grants := l.Acquire(owned, Request{Holder: p.id, Service: "s", Want: Amount{2, 3}, Waiting: m.random.IntN(4)})
			return func() { _ = p.holder.Granted(now, epoch, grants) }
		})
	case 1:
		m.call(p, func(l *Ledger, owned time.Time) func() {
			epoch := m.epoch
			grants := l.AcquireBase(owned, p.id, m.members)
			return func() { _ = p.holder.Granted(now, epoch, grants) }
		})
	case 2:
		renewals := p.holder.Renewals(now)
		m.call(p, func(l *Ledger, owned time.Time) func() {
			epoch, ids := m.epoch, l.Renew(owned, p.id, renewals)
			return func() { _ = p.holder.Renewed(now, epoch, ids) }
		})
	case 3:
		for _, held := range p.holder.sorted() {
			if keep, held := p.holder.ReturnUnused(held.grant.ID, Amount{m.random.IntN(2), m.random.IntN(2)}); held {
				m.send(func() { m.ledger.Return(p.id, keep) })
			}
		}
	case 4, 5, 6:
		m.take(p, now)
	case 7:
		if len(p.uses) > 0 {
			use := p.uses[m.random.IntN(len(p.uses))]
			p.holder.FirstByte(use)
			if m.random.IntN(2) == 0 {
				p.holder.Put(use)
			}
		}
	}
	if m.random.IntN(100) == 0 {
		p.frozen = m.now + time.Duration(m.random.IntN(300))*step
	}
}

func (m *model) take(p *peer, now time.Time) {
	executor := m.executors[m.random.IntN(len(m.executors))].ID
	use, ok := p.holder.Take(now, []membership.InstanceID{executor}, m.random.IntN(4) == 0)
	if ok {
		p.uses = append(p.uses, use)
	}
}

// advance runs one step; check judges what could run at once on an executor.
func (m *model) advance() {
	m.now += step
	for _, run := range m.queue[m.now] {
		run()
	}
	delete(m.queue, m.now)
	for _, p := range m.peers {
		if m.now >= p.frozen {
			m.act(p)
		}
		if m.random.IntN(10) == 0 {
			m.fence(p)
		}
	}
	if m.random.IntN(10) == 0 {
		for _, g := range m.ledger.Recalls(m.clock(m.owner), m.members) {
			m.recall(g)
		}
	}
	if m.random.IntN(150) == 0 {
		m.takeOver()
	}
}

func (m *model) recall(g Grant) {
	for _, p := range m.peers {
		if p.id != g.Holder {
			continue
		}
		m.send(func() {
			p.inbox = append(p.inbox, func() {
				if keep, held := p.holder.Recall(g.ID); held {
					m.send(func() { m.ledger.Return(p.id, keep) })
				}
			})
		})
	}
}

// load returns what could run on an executor now: what holders may start and what
// runs. A use ends at its deadline even when its holder is frozen.
func (m *model) load(e Executor) Amount {
	var total Amount
	for _, p := range m.peers {
		now := m.clock(p.side)
		total = total.plus(unused(p.holder, now, e.ID).orNone())
		for use := range p.holder.uses {
			if use.Executor != e.ID || !now.Before(use.deadline()) {
				continue
			}
			total.Connections++
			if use.slot {
				total.Slots++
			}
		}
	}
	return total
}

// checkModel guards against an executor that is given more than it has.
func checkModel(t *rapid.T) {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		terms:  Terms{Grant: 5 * time.Second, Base: 15 * time.Second, MaxGrants: 4, MaxScan: 4},
		queue:  map[time.Duration][]func(){},
	}
	m.terms.Drift = rapid.SampledFrom([]float64{0.01, 0.05}).Draw(t, "drift")
	for i := range rapid.IntRange(1, 3).Draw(t, "executors") {
		capacity := Amount{rapid.IntRange(1, 8).Draw(t, "slots"), rapid.IntRange(1, 12).Draw(t, "connections")}
		m.executors = append(m.executors, Executor{ID: membership.InstanceID(fmt.Sprint("executor-", i)), Service: "s", Capacity: capacity, MaxDuration: 2 * time.Second})
	}
	for i := range rapid.IntRange(2, 4).Draw(t, "peers") {
		id := membership.InstanceID(fmt.Sprint("entry-", i))
		m.members = append(m.members, id)
		m.peers = append(m.peers, &peer{side: m.newSide(), id: id, holder: NewHolder(id)})
	}
	m.takeOver()
	for m.now < 60*time.Second {
		m.advance()
		for _, e := range m.executors {
			if load := m.load(e); load.Slots > e.Capacity.Slots || load.Connections > e.Capacity.Connections {
				t.Fatalf("at %v executor %s with %+v may run %+v", m.now, e.ID, e.Capacity, load)
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

// unused returns what a holder has free of an executor, also slots without connections.
func unused(h *Holder, now time.Time, executor membership.InstanceID) (free Amount) {
	for _, held := range h.holdings[executor] {
		if !held.recalled && now.Before(held.expiry) {
			free = free.plus(held.grant.Amount.minus(held.used))
		}
	}
	return free
}
