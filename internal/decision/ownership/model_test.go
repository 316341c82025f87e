package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// step is the resolution of the model in simulated time.
const step = 50 * time.Millisecond

// fault is one entry of a model's fault schedule. The empty kind means no fault. Instance
// and Other are the indexes of the affected instances, modulo their number; Other is used
// only by faults between two instances.
type fault struct {
	Kind            string
	Instance, Other int
	At, Duration    time.Duration
}

// faultKinds are the kinds of faults. CutTableAll and SlowTable affect all instances,
// Partition and OneWay the messages between two, and the others one instance.
var faultKinds = []string{"CutTable", "CutTableAll", "Partition", "OneWay", "Freeze", "Restart", "Leave", "LoseAnswers", "SlowTable"}

// instance is a simulated entry instance with its own clock.
type instance struct {
	id            membership.InstanceID
	zoneView      *ZoneView
	shardView     *ShardView
	rate          float64
	offset        time.Duration
	lastHeartbeat time.Time
	inbox         []func()
}

// event is a function to run at a simulated time. seq orders events at the same time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model simulates a table and the entry instances of a zone. now is the simulated time.
type model struct {
	config    Config
	random    *rand.Rand
	now       time.Duration
	queue     events
	sequence  int
	instances []*instance
	stopped   []membership.InstanceID
	faults    []fault
	started   int

	shard          ShardRow
	members        MemberSet
	shardVersion   table.Version
	membersVersion table.Version
	failure        error
}

var modelShard = worker.ShardID{Zone: "zone", Index: 1}

func newModel(seed uint64, rates []float64, config Config, faults []fault) *model {
	m := &model{config: config, random: rand.New(rand.NewPCG(seed, 1)), faults: faults}
	for _, rate := range rates {
		m.instances = append(m.instances, m.start(rate))
	}
	return m
}

// start returns a new instance whose clock runs at a rate.
func (m *model) start(rate float64) *instance {
	m.started++
	id := membership.InstanceID(fmt.Sprintf("entry-%d", m.started))
	i := &instance{id: id, zoneView: NewZoneView(id, m.config), rate: rate, offset: time.Duration(m.random.Int64N(int64(time.Hour)))}
	i.shardView = i.zoneView.Shard(modelShard)
	return i
}

// clock returns the simulated time as shown by the instance's clock.
func (m *model) clock(i *instance) time.Time {
	return time.Unix(1, 0).Add(i.offset + time.Duration(float64(m.now)*i.rate))
}

// faultActiveAt reports whether a fault of a kind is active at an instance.
func (m *model) faultActiveAt(kind string, index int) bool {
	for _, f := range m.faults {
		if f.Kind == kind && f.Instance%len(m.instances) == index && m.now >= f.At && m.now < f.At+f.Duration {
			return true
		}
	}
	return false
}

// faultActive reports whether a fault of a kind is active at any instance.
func (m *model) faultActive(kind string) bool {
	for _, f := range m.faults {
		if f.Kind == kind && m.now >= f.At && m.now < f.At+f.Duration {
			return true
		}
	}
	return false
}

// cut reports whether messages from one instance to another are lost.
func (m *model) cut(from, to int) bool {
	for _, f := range m.faults {
		a, b := f.Instance%len(m.instances), f.Other%len(m.instances)
		if m.now < f.At || m.now >= f.At+f.Duration {
			continue
		}
		if f.Kind == "Partition" && (a == from && b == to || a == to && b == from) || f.Kind == "OneWay" && a == from && b == to {
			return true
		}
	}
	return false
}

// after runs a function after a delay.
func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.queue, event{m.now + d, m.sequence, run})
}

// delay returns a random network delay, which is sometimes very long.
func (m *model) delay(slow bool) time.Duration {
	if slow || m.random.IntN(100) == 0 {
		return time.Duration(m.random.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))
}

// deliver runs a function at an instance after a delay, once the instance is not
// frozen. It never runs if the instance was replaced.
func (m *model) deliver(i *instance, d time.Duration, run func()) {
	m.after(d, func() { i.inbox = append(i.inbox, run) })
}

// request runs op at the table and then done(true) at the instance. It runs done(false)
// after a timeout if the request or the answer was lost or slow.
func (m *model) request(index int, i *instance, op func(), done func(answered bool)) {
	finished := false
	finish := func(answered bool) func() {
		return func() {
			if !finished {
				finished = true
				done(answered)
			}
		}
	}
	m.deliver(i, 2*time.Second, finish(false))
	lost := m.faultActive("CutTableAll") || m.faultActiveAt("CutTable", index)
	slow := m.faultActive("SlowTable")
	noAnswer := m.faultActiveAt("LoseAnswers", index)
	if lost {
		return
	}
	m.after(m.delay(slow), func() {
		op()
		if !noAnswer {
			m.deliver(i, m.delay(slow), finish(true))
		}
	})
}

// perform carries out an action of an instance's shard view.
func (m *model) perform(index int, i *instance, a Action) {
	switch a.Kind {
	case Read:
		read := TableRead{Began: m.clock(i)}
		m.request(index, i, func() {
			read.Shard, read.ShardVersion = m.shard, m.shardVersion
			read.Members, read.MembersVersion = m.members, m.membersVersion
		}, func(answered bool) {
			if answered {
				i.shardView.TableRead(m.clock(i), read)
			} else {
				i.shardView.ReadFailed()
			}
		})
	case Claim, Settle, Release:
		outcome, version := NotWritten, table.Version(0)
		m.request(index, i, func() {
			if a.ShardVersion != m.shardVersion || a.Kind == Claim && a.MembersVersion != m.membersVersion {
				return
			}
			if a.Row.Epoch < m.shard.Epoch {
				m.failure = fmt.Errorf("epoch decreased from %d to %d", m.shard.Epoch, a.Row.Epoch)
			}
			m.shardVersion++
			m.shard = a.Row
			outcome, version = Written, m.shardVersion
		}, func(answered bool) {
			if !answered {
				i.shardView.WriteResult(m.clock(i), a, Unknown, 0)
				return
			}
			i.shardView.WriteResult(m.clock(i), a, outcome, version)
		})
	case StartRecovery:
		m.deliver(i, m.delay(false), i.shardView.RecoveryDone)
	}
}

// heartbeat sends a heartbeat each second and delivers the answers.
func (m *model) heartbeat(index int, i *instance) {
	now := m.clock(i)
	if now.Sub(i.lastHeartbeat) < time.Second {
		return
	}
	i.lastHeartbeat = now
	h := i.zoneView.Heartbeat(now)
	for to, other := range m.instances {
		if to == index || m.cut(index, to) || m.random.IntN(10) == 0 {
			continue
		}
		back := !m.cut(to, index) && m.random.IntN(10) != 0
		m.deliver(other, m.delay(false), func() {
			answer := other.zoneView.HandleHeartbeat(m.clock(other), h)
			if back {
				m.deliver(i, m.delay(false), func() { i.zoneView.HandleAnswer(m.clock(i), now, answer) })
			}
		})
	}
}

// tick delivers an instance's messages and runs its periodic work.
func (m *model) tick(index int, i *instance) {
	for len(i.inbox) > 0 {
		run := i.inbox[0]
		i.inbox = i.inbox[1:]
		run()
	}
	m.heartbeat(index, i)
	if w, due := i.zoneView.Tick(m.clock(i)); due {
		m.request(index, i, func() {
			if w.Version == m.membersVersion {
				m.membersVersion++
				m.members = w.Set
			}
		}, func(bool) { i.zoneView.MembersWritten(m.clock(i)) })
	}
	for _, a := range i.shardView.Tick(m.clock(i)) {
		m.perform(index, i, a)
	}
}

// advance runs one step and returns the instances that have authority after it.
func (m *model) advance() []*instance {
	m.now += step
	for _, f := range m.faults {
		index := f.Instance % len(m.instances)
		if f.At < m.now-step || f.At >= m.now {
			continue
		}
		if f.Kind == "Leave" {
			m.instances[index].zoneView.Leave()
		}
		if f.Kind == "Restart" || f.Kind == "Leave" {
			m.after(f.Duration, func() { m.replace(index) })
		}
	}
	for len(m.queue) > 0 && m.queue[0].at <= m.now {
		heap.Pop(&m.queue).(event).run()
	}
	var holders []*instance
	for index, i := range m.instances {
		if !m.faultActiveAt("Freeze", index) && !m.faultActiveAt("Restart", index) {
			m.tick(index, i)
		}
		if _, ok := i.shardView.Authority(m.clock(i)); ok {
			holders = append(holders, i)
		}
	}
	if len(holders) > 1 {
		m.failure = fmt.Errorf("at %v both %s (epoch %d) and %s (epoch %d) hold authority", m.now,
			holders[0].id, holders[0].shardView.Epoch(), holders[1].id, holders[1].shardView.Epoch())
	}
	return holders
}

// replace stops an instance and starts another one with a new ID.
func (m *model) replace(index int) {
	m.stopped = append(m.stopped, m.instances[index].id)
	unlisted := m.stopped
	m.instances[index] = m.start(m.instances[index].rate)
	m.after(5*time.Second, func() {
		for _, i := range m.instances {
			i.zoneView.SetUnlisted(unlisted)
		}
	})
}
