package dispatcher

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

func TestDispatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatcher")
}

// Guards against an owner that was cut off with its zone and replaced, and ran the
// tasks of all workers that it couldn't reach a second time (TWICE, deploy/days/zones).
var _ = Describe("Authority", func() {
	begin := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	others := []membership.InstanceID{"a", "b"}

	It("lasts for a term after a transaction", func() {
		a := authority{storedAt: at(0)}
		Expect(a.mayAct(begin.Add(authorityTerm), others)).To(BeTrue())
		after := begin.Add(authorityTerm + time.Millisecond)
		Expect(a.mayAct(after, others)).To(BeFalse())
		Expect(a.mayAct(after, nil)).To(BeFalse())
	})

	It("lasts through an outage while no other instance can claim the shard", func() {
		a := authority{storedAt: at(0)}
		for ms := 1000; ms < 9000; ms += 250 {
			a.recordConfirmation("a", at(ms))
			a.recordConfirmation("b", at(ms))
			Expect(a.mayAct(at(ms+200), others)).To(BeTrue())
		}
	})

	// Guards against an owner that was cut off together with others, and replaced: once
	// it has forgotten those on the other side, the word of those on its own side would
	// let it act again beside its successor.
	It("needs the word of instances that are no longer heard of", func() {
		a := authority{}
		a.recordTransaction(at(0), others)
		a.recordConfirmation("a", at(11000))
		Expect(a.mayAct(at(11100), others[:1])).To(BeFalse())
		a.recordConfirmation("b", at(11000))
		Expect(a.mayAct(at(11100), others[:1])).To(BeTrue())
		a.recordTransaction(at(20000), others[:1])
		a.recordConfirmation("a", at(30000))
		Expect(a.mayAct(at(30100), others[:1])).To(BeTrue())
	})

	// Guards against recovered jobs that wait longer for silent workers than the earlier
	// owner can have renewed their leases.
	It("of an earlier owner ends a term after its last row was seen", func() {
		Expect(remainingAuthority(at(5000), time.Time{})).To(Equal(authorityTerm))
		Expect(remainingAuthority(at(5000), at(4000))).To(Equal(authorityTerm - time.Second))
		Expect(remainingAuthority(at(9000), at(4000))).To(Equal(authorityTerm - 5*time.Second))
		Expect(remainingAuthority(at(4000), at(4001))).To(Equal(authorityTerm))
	})

	// Guards against a successor that counts an outage of the store as time in which the
	// earlier owner rested: its own word let that one act on.
	It("of an earlier owner is as old as its last transaction and the own word", func() {
		v := view{readAt: at(1000)}
		Expect(v.lastAuthority()).To(BeZero())
		v.met = true
		Expect(v.lastAuthority()).To(Equal(at(1000)))
		v.confirmed = at(8000)
		Expect(v.lastAuthority()).To(Equal(at(8000)))
		v.readAt = time.Time{}
		Expect(v.lastAuthority()).To(BeZero())
	})

	// Guards against a shard without an owner for as long as it takes to see, from the first
	// look on, that a silent owner writes no more.
	It("is known to be unproved since the owner last told of the same row", func() {
		v := view{met: true, heard: at(1000), told: 7, owner: ownerRow{Epoch: 2}}
		Expect(v.unchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 7})).To(Equal(at(1000)))
	})

	It("may have been proved just now if the row has changed, or the owner never answered", func() {
		v := view{met: true, heard: at(1000), told: 7, owner: ownerRow{Epoch: 2}}
		Expect(v.unchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 8})).To(Equal(at(1800)))
		Expect(v.unchangedSince(at(1800), ownerRow{Epoch: 3, Sequence: 7})).To(Equal(at(1800)))
		v.met = false
		Expect(v.unchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 7})).To(Equal(at(1800)))
	})

	// Guards against a takeover right after an outage of the store, in which no owner beats.
	It("may have been proved just now after a time without the store", func() {
		clock := clockwork.NewFakeClockAt(at(0))
		s := &shard{node: New(Options{Name: "a", Clock: clock})}
		s.view = view{met: true, heard: at(0), told: 7, owner: ownerRow{Node: "b", Epoch: 2}}
		row := table.Row{Version: 3, Value: encode(ownerRow{Node: "b", Epoch: 2, Sequence: 7})}
		s.forgetRow()
		Expect(s.shouldClaim(at(5000), row)).To(BeFalse())
		Expect(s.shouldClaim(at(5000).Add(staleAfter), row)).To(BeTrue())
	})

	It("is gone after the machine was suspended", func() {
		s := suspension{}
		Expect(s.noticed(5 * time.Second)).To(BeFalse())
		Expect(s.noticed(5*time.Second + 20*time.Millisecond)).To(BeFalse())
		Expect(s.noticed(8 * time.Second)).To(BeTrue())
		Expect(s.noticed(8 * time.Second)).To(BeFalse())
	})

	// Guards against an owner that rests during an outage of the store: calls to a
	// silent store time out so late that the others didn't know of it in time.
	It("is confirmed from the first failed probe", func() {
		p := storeProbe{}
		Expect(p.unreachable(at(0))).To(BeFalse())
		Expect(p.begin()).To(BeTrue())
		Expect(p.begin()).To(BeFalse())
		p.end(at(400), true)
		Expect(p.unreachable(at(500))).To(BeTrue())
		Expect(p.unreachable(at(1200))).To(BeFalse())
		Expect(p.begin()).To(BeTrue())
		p.end(at(1300), false)
		Expect(p.unreachable(at(1301))).To(BeFalse())
	})

	It("ends when one instance is silent", func() {
		a := authority{storedAt: at(0)}
		a.recordConfirmation("b", at(1000))
		for ms := 1000; ms < 3000; ms += 250 {
			a.recordConfirmation("a", at(ms))
		}
		Expect(a.mayAct(at(1000).Add(authorityTerm), others)).To(BeTrue())
		Expect(a.mayAct(at(1001).Add(authorityTerm), others)).To(BeFalse())
	})
})
