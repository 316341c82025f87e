package dispatcher

import (
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against an owner that is replaced while it reads the stored jobs, and its
// successor as well, without end (grown amagasa-kyushu, scale-2: ten owners in 17 s): its
// row stayed as it was, since it wrote nothing before it had read all.
var _ = Describe("An owner that loads", func() {
	It("beats, and stores nothing else", func() {
		n := New(Options{Name: "a", Clock: clockwork.NewFakeClock()})
		o := newOwner(newShard(n, 0, 1), ownerRow{Node: "a", Epoch: 2, Sequence: 4}, 7, func() {})
		o.chores = []table.Write{{Key: "job/s0/x", Delete: true}}
		o.expired["y"] = true
		u := o.takeUpdate()
		Expect(u.next.Sequence).To(Equal(int64(5)))
		Expect(u.writes).To(BeEmpty())
		tx := u.transaction("owner/s0/owner")
		Expect(tx.Conditions).To(Equal([]table.Condition{{Key: "owner/s0/owner", Version: 7}}))
		Expect(tx.Writes).To(HaveLen(1))

		o.loaded = true
		u = o.takeUpdate()
		Expect(len(u.writes)).To(BeNumerically(">=", 3))
		Expect(o.chores).To(BeEmpty())
		o.giveBack(u)
		Expect(o.chores).To(HaveLen(1))
	})
})
