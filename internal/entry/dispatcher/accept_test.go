package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against a cancelled job that runs again. Its submission waited at the owner
// while the caller's instance stored the job, and then overwrote the job's outcome.
var _ = Describe("takeSubmissions", func() {
	It("reports known jobs as stored instead of storing them again", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), storing: map[dispatch.JobID]bool{}}
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		o.engine.AddFinished(now, "known", dispatch.Cancelled)
		known := &submission{job: dispatch.Job{ID: "known"}, done: make(chan error, 1)}
		fresh := &submission{job: dispatch.Job{ID: "new"}, done: make(chan error, 1)}
		o.submissions = []*submission{known, fresh}
		Expect(o.takeSubmissions(maxBatchSubmissions)).To(Equal([]*submission{fresh}))
		Expect(known.done).To(Receive(BeNil()))
		Expect(o.submissions).To(BeEmpty())
	})
})

// Guards against two shards that run the same job. Each submission of the job may
// choose a different shard.
var _ = Describe("A repeated submission", func() {
	It("a repeated submission waits until the first one is stored", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1}), storing: map[dispatch.JobID]bool{}}
		to := shardID(1)
		first := &submission{job: dispatch.Job{ID: "j"}, target: &to, done: make(chan error, 1)}
		second := &submission{job: dispatch.Job{ID: "j"}, done: make(chan error, 1)}
		o.submissions = []*submission{first, second}
		Expect(o.takeSubmissions(maxBatchSubmissions)).To(Equal([]*submission{first}))
		Expect(o.takeSubmissions(maxBatchSubmissions)).To(BeEmpty())
		o.moved = map[dispatch.JobID]*movedJob{"j": {target: to}}
		delete(o.storing, "j")
		Expect(o.takeSubmissions(maxBatchSubmissions)).To(BeEmpty())
		Expect(second.done).To(Receive(BeNil()))
		Expect(o.submissions).To(BeEmpty())
	})
})

// Guards against pending jobs that no shard counts. The home shard had stored the move
// of the jobs to another shard, but that shard didn't answer for seconds.
var _ = Describe("Pending jobs", func() {
	It("the pending count includes jobs that are being handed over to another shard", func() {
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
