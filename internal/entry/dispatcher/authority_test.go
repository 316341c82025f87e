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

// Guards against a task that runs twice. An owner that was cut off with its
// availability zone and replaced restarted the tasks of all workers that it couldn't
// reach.
var _ = Describe("Authority", func() {
	begin := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	others := []membership.InstanceID{"a", "b"}

	It("an owner may act for authorityTerm after a transaction", func() {
		a := authority{storedAt: at(0)}
		Expect(a.mayAct(begin.Add(authorityTerm), others)).To(BeTrue())
		after := begin.Add(authorityTerm + time.Millisecond)
		Expect(a.mayAct(after, others)).To(BeFalse())
		Expect(a.mayAct(after, nil)).To(BeFalse())
	})

	It("an owner may act during a store outage while no other instance can claim the shard", func() {
		a := authority{storedAt: at(0)}
		for ms := 1000; ms < 9000; ms += 250 {
			a.recordConfirmation("a", at(ms))
			a.recordConfirmation("b", at(ms))
			Expect(a.mayAct(at(ms+200), others)).To(BeTrue())
		}
	})

	// Guards against an owner that was cut off together with other instances and replaced.
	// Once it has forgotten the instances on the other side of the partition, the
	// confirmations from its own side would let it act at the same time as its successor.
	It("an owner needs confirmations from peers that are no longer heard from", func() {
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

	// Guards against recovered jobs that wait for silent workers after the leases from the
	// previous owner must have expired.
	It("the authority of a previous owner ends authorityTerm after its last confirmation", func() {
		Expect(remainingAuthority(at(5000), time.Time{})).To(Equal(authorityTerm))
		Expect(remainingAuthority(at(5000), at(4000))).To(Equal(authorityTerm - time.Second))
		Expect(remainingAuthority(at(9000), at(4000))).To(Equal(authorityTerm - 5*time.Second))
		Expect(remainingAuthority(at(4000), at(4001))).To(Equal(authorityTerm))
	})

	// Guards against a successor that counts a store outage as time in which the previous
	// owner didn't act, although the successor itself confirmed that owner's authority
	// during the outage.
	It("a previous owner was last confirmed by its last transaction or by this instance", func() {
		v := ownerView{rowSince: at(1000)}
		Expect(v.lastAuthorityAt()).To(BeZero())
		v.hasAnswered = true
		Expect(v.lastAuthorityAt()).To(Equal(at(1000)))
		v.confirmedAt = at(8000)
		Expect(v.lastAuthorityAt()).To(Equal(at(8000)))
		v.rowSince = time.Time{}
		Expect(v.lastAuthorityAt()).To(BeZero())
	})

	// Guards against a delayed takeover. The time without changes must count from the
	// silent owner's last answer, not from the first read of its row.
	It("an owner's row is unchanged since the owner last reported the same row", func() {
		v := ownerView{hasAnswered: true, answeredAt: at(1000), answeredSequence: 7, owner: ownerRow{Epoch: 2}}
		Expect(v.rowUnchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 7})).To(Equal(at(1000)))
	})

	It("an owner's row may have changed just now if it differs or the owner never answered", func() {
		v := ownerView{hasAnswered: true, answeredAt: at(1000), answeredSequence: 7, owner: ownerRow{Epoch: 2}}
		Expect(v.rowUnchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 8})).To(Equal(at(1800)))
		Expect(v.rowUnchangedSince(at(1800), ownerRow{Epoch: 3, Sequence: 7})).To(Equal(at(1800)))
		v.hasAnswered = false
		Expect(v.rowUnchangedSince(at(1800), ownerRow{Epoch: 2, Sequence: 7})).To(Equal(at(1800)))
	})

	// Guards against a takeover right after a store outage, during which no owner can
	// write heartbeats.
	It("an owner's row may have changed just now after a store outage", func() {
		clock := clockwork.NewFakeClockAt(at(0))
		s := &shard{node: New(Options{Name: "a", Clock: clock})}
		s.view = ownerView{hasAnswered: true, answeredAt: at(0), answeredSequence: 7, owner: ownerRow{Node: "b", Epoch: 2}}
		row := table.Row{Version: 3, Value: encode(ownerRow{Node: "b", Epoch: 2, Sequence: 7})}
		s.resetRowAge()
		Expect(s.shouldClaim(at(5000), row)).To(BeFalse())
		Expect(s.shouldClaim(at(5000).Add(rowStaleAfter), row)).To(BeTrue())
	})

	It("a suspension of the machine is detected once", func() {
		s := suspension{}
		Expect(s.hasGrown(5 * time.Second)).To(BeFalse())
		Expect(s.hasGrown(5*time.Second + 20*time.Millisecond)).To(BeFalse())
		Expect(s.hasGrown(8 * time.Second)).To(BeTrue())
		Expect(s.hasGrown(8 * time.Second)).To(BeFalse())
	})

	// Guards against an owner that stops acting during a store outage. Calls to a store
	// that doesn't answer time out so late that the other instances couldn't confirm the
	// owner's authority in time.
	It("a failed probe shows the store as unreachable until it expires or a probe succeeds", func() {
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

	It("an owner may not act once a peer has stopped confirming its ownership", func() {
		a := authority{storedAt: at(0)}
		a.recordConfirmation("b", at(1000))
		for ms := 1000; ms < 3000; ms += 250 {
			a.recordConfirmation("a", at(ms))
		}
		Expect(a.mayAct(at(1000).Add(authorityTerm), others)).To(BeTrue())
		Expect(a.mayAct(at(1001).Add(authorityTerm), others)).To(BeFalse())
	})
})
