package dispatch_test

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// chainJob is a job of many steps, each after all earlier ones.
func chainJob(steps int) dispatch.Job {
	j := dispatch.Job{Queue: batchQueue, Accepted: startTime}
	for n := range steps {
		s := batchStep(1)
		for before := range n {
			s.After = append(s.After, before)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// Guards against a limit that is kept by the estimates and not by what the jobs take.
var _ = Describe("The estimate of a job's memory", func() {
	const jobs = 200

	DescribeTable("is no lower than what the engine takes, also after a tick, for", func(newJob func() dispatch.Job) {
		h := newHarness(1, 4)
		h.listWorkers()
		h.advance(0)
		before := heapBytes()
		estimated := resource.Bytes(0)
		for n := range jobs {
			j := newJob()
			j.ID, j.Spec = dispatch.JobID(fmt.Sprintf("%016x", n)), strings.Repeat("x", 1000+n)
			estimated += j.Memory()
			h.engine.AddJob(h.now, j, dispatch.Progress{}, false)
		}
		for range 10 {
			h.advance(100 * time.Millisecond)
		}
		h.decisions, h.starts = nil, nil
		used := resource.Bytes(heapBytes() - before)
		runtime.KeepAlive(h)
		Expect(estimated).To(BeNumerically(">=", used))
		Expect(h.engine.Memory()).To(BeNumerically(">=", used))
	},
		Entry("one task", func() dispatch.Job { return chainJob(1) }),
		Entry("many steps", func() dispatch.Job { return chainJob(64) }),
		Entry("many tasks", func() dispatch.Job {
			j := chainJob(1)
			j.Steps[0].Tasks = 2400
			return j
		}),
		Entry("many long-running tasks", func() dispatch.Job {
			j := chainJob(1)
			j.Steps[0].Tasks, j.Steps[0].LongRunning = 2400, true
			return j
		}),
		Entry("many occurrences that aren't due", func() dispatch.Job { return repeatedJob(1000, time.Hour) }),
		Entry("many occurrences that are due", func() dispatch.Job { return repeatedJob(1000, time.Microsecond) }),
	)
})

// Guards against large jobs that take the memory from ordinary ones, and from the shards that an instance
// takes over.
var _ = Describe("The limit for the memory of jobs", func() {
	const limit = dispatch.MemoryLimit(80 << 20)
	const small, large = resource.Bytes(8 << 10), resource.Bytes(128 << 10)

	// fill returns what jobs of a size take when no other is admitted.
	fill := func(used, job resource.Bytes, admits func(used, job resource.Bytes) bool) resource.Bytes {
		for admits(used, job) {
			used += job
		}
		return used
	}

	It("leaves room to load stored jobs beside large new ones", func() {
		accepted := fill(0, large, limit.Accepts)
		loaded := fill(accepted, large, limit.Loads)
		Expect(loaded - accepted).To(BeNumerically(">=", resource.Bytes(limit)/5))
	})
	It("leaves room to accept small jobs beside all others", func() {
		others := fill(fill(fill(0, large, limit.Accepts), large, limit.Loads), small, limit.Loads)
		all := fill(others, small, limit.Accepts)
		Expect(all - others).To(BeNumerically(">=", resource.Bytes(limit)/10))
		Expect(all).To(BeNumerically("<=", resource.Bytes(limit)))
	})
	It("accepts everything without a limit", func() {
		Expect(dispatch.MemoryLimit(0).Accepts(1<<50, large)).To(BeTrue())
		Expect(dispatch.MemoryLimit(0).Loads(1<<50, large)).To(BeTrue())
	})
	It("refuses with a delay after which the client may retry", func() {
		j := chainJob(64)
		refused := dispatch.AdmitMemory(limit, resource.Bytes(limit)/2, &j)
		Expect(refused.Refused).To(Equal(dispatch.RefusedMemory))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(dispatch.AdmitMemory(limit, 0, &j)).To(Equal(dispatch.Admission{}))
	})
})
