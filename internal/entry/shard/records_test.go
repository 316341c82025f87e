package shard

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
)

var _ = Describe("Changes of a job", func() {
	// Guards against results that are lost: they had left the pending ones before the job's
	// record was encoded.
	It("stay pending if the job can't be encoded", func() {
		const yearThatJSONRejects = 10000
		r := newRecordCache()
		r.jobs["j"] = &jobEntry{record: job.Record{
			ID: "j", State: job.Queued, Spec: job.Spec{Tasks: 2}, Submitted: time.Date(yearThatJSONRejects, 1, 1, 0, 0, 0, 0, time.UTC),
		}}
		Expect(r.addResult("j", job.TaskResult{Index: 1})).To(BeTrue())
		c := &pendingCommit{}
		Expect(r.addJobChanges(c, fleetShardID, "j")).NotTo(Succeed())
		Expect(c.tx.Writes).To(BeEmpty())
		Expect(c.results).To(BeEmpty())
		r.jobs["j"].record.Submitted = time.Time{}
		Expect(r.addJobChanges(c, fleetShardID, "j")).To(Succeed())
		Expect(c.results).To(HaveLen(1))
		Expect(c.tx.Writes).To(HaveLen(2))
	})
})
