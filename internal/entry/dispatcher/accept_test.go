package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against a cancelled job that ran again (UNASKED, amagasa-kyushu, hunt-bd02-7):
// its submission had waited at the owner while its instance stored it, and was then
// written over the outcome.
var _ = Describe("takeSubmissions", func() {
	It("leaves out jobs that have become known, as stored", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), storing: map[dispatch.JobID]bool{}}
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		o.engine.AddFinished(now, "known", dispatch.Cancelled)
		known := &submission{job: dispatch.Job{ID: "known"}, done: make(chan error, 1)}
		fresh := &submission{job: dispatch.Job{ID: "new"}, done: make(chan error, 1)}
		o.submissions = []*submission{known, fresh}
		Expect(o.takeSubmissions()).To(Equal([]*submission{fresh}))
		Expect(known.done).To(Receive(BeNil()))
		Expect(o.submissions).To(BeEmpty())
	})
})

// Guards against two shards that run one job: each submission of it may choose another.
var _ = Describe("A repeated submission", func() {
	It("waits until the first is stored", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), storing: map[dispatch.JobID]bool{}}
		to := shardID(1)
		first := &submission{job: dispatch.Job{ID: "j"}, target: &to, done: make(chan error, 1)}
		second := &submission{job: dispatch.Job{ID: "j"}, done: make(chan error, 1)}
		o.submissions = []*submission{first, second}
		Expect(o.takeSubmissions()).To(Equal([]*submission{first}))
		Expect(o.takeSubmissions()).To(BeEmpty())
		o.moved = map[dispatch.JobID]*movedJob{"j": {target: to}}
		delete(o.storing, "j")
		Expect(o.takeSubmissions()).To(BeEmpty())
		Expect(second.done).To(Receive(BeNil()))
		Expect(o.submissions).To(BeEmpty())
	})
})

// Guards against jobs that no shard counts (MIXED, grown amagasa-kyushu, scale-2): their
// choice was stored, and the other shard didn't answer for seconds.
var _ = Describe("Pending jobs", func() {
	It("include those that are on their way to another shard", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), loaded: true}
		o.moved = map[dispatch.JobID]*movedJob{
			"sent":    {target: 1, queue: "q"},
			"stored":  {target: 1, queue: "q", stored: true},
			"dropped": {target: 1, queue: "q", cancelling: true},
			"other":   {target: 1, queue: "p"},
		}
		answer, err := o.pending("q")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Pending).To(Equal(1))
	})
})
