package memory

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

const (
	// heldJobs is the number of large jobs that are handed in, and heldChains that of jobs of as many steps as
	// a job may have.
	heldJobs   = 80
	heldChains = 800
	// storedChains is the number of such jobs that earlier builds have stored.
	storedChains = 3000
	// chainSteps is the number of steps of such a job.
	chainSteps = 64
	// firstHeldJob is the lowest ID of a large job, above those of the ordinary ones.
	firstHeldJob = 1 << 32
)

// repeatedJob runs 1,000 times, for the first time in an hour.
func repeatedJob() string {
	return fmt.Sprintf(`{"spec":"text","repetitions":1000,"intervalMs":3600000,"firstRunMs":%d,"steps":[{"count":2,"cpu":100,"memoryRequestMb":100,"estimatedMs":1000}]}`,
		time.Now().Add(time.Hour).UnixMilli())
}

// wideJob has a step of 2,400 tasks after one of a single task, and is due in an hour.
func wideJob() string {
	return fmt.Sprintf(`{"spec":"text","repetitions":1,"intervalMs":1000,"firstRunMs":%d,"steps":[{"count":1,"cpu":100,"memoryRequestMb":100,"estimatedMs":1000},`+
		`{"count":2400,"cpu":100,"memoryRequestMb":100,"estimatedMs":1000,"after":[0]}]}`, time.Now().Add(time.Hour).UnixMilli())
}

// longRunningJob has 2,400 long-running tasks, for which there is no room.
func longRunningJob() string {
	return `{"spec":"text","steps":[{"count":2400,"cpu":100,"memoryRequestMb":100,"estimatedMs":1000,"longRunning":true}]}`
}

// waitingJob has 2,400 tasks that may start at once, for which there is no room.
func waitingJob() string {
	return `{"spec":"text","steps":[{"count":2400,"cpu":4000,"memoryRequestMb":4000,"estimatedMs":1000}]}`
}

// chainJob has as many steps as a job may have, each after all earlier ones, and is due in an hour.
func chainJob() string {
	steps, after := make([]string, chainSteps), "[]"
	for n := range steps {
		steps[n] = fmt.Sprintf(`{"count":1,"cpu":100,"memoryRequestMb":100,"estimatedMs":1000,"after":%s}`, after)
		after = strings.Replace(strings.TrimSuffix(after, "]")+fmt.Sprintf(",%d]", n), "[,", "[", 1)
	}
	return fmt.Sprintf(`{"spec":%q,"repetitions":1,"intervalMs":1000,"firstRunMs":%d,"steps":[%s]}`,
		strings.Repeat("x", 4000), time.Now().Add(time.Hour).UnixMilli(), strings.Join(steps, ","))
}

// storedChain is a job like chainJob, as it is stored.
func storedChain(number int) dispatch.Job {
	j := dispatch.Job{
		ID: dispatch.JobID(fmt.Sprintf("%016x", number)), Queue: "r", Spec: strings.Repeat("x", 4000), Accepted: time.Now().UTC(),
		Repetitions: 1, Interval: time.Second, FirstRun: time.Now().Add(time.Hour).UTC(),
	}
	var after []int
	for n := range chainSteps {
		j.Steps = append(j.Steps, dispatch.Step{
			Tasks: 1, Resources: resource.Vector{Processors: 100, Memory: 100 << 20}, Estimate: time.Second, After: slices.Clone(after),
		})
		after = append(after, n)
	}
	return j
}

// holdJobs hands in large jobs and returns the path of one that was accepted. The others may be refused.
func (i *platformInstance) holdJobs(count int, body func() string) string {
	GinkgoHelper()
	accepted := ""
	for n := range count {
		path := fmt.Sprintf("%s%016x", testPrefix, firstHeldJob+n)
		status, err := statusOf(http.MethodPost, i.callers, testHost, path, body())
		Expect(err).NotTo(HaveOccurred(), "no answer")
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable), i.logTail())
		if status == http.StatusOK {
			accepted = path
		}
	}
	Expect(accepted).NotTo(BeEmpty(), "no job was accepted")
	return accepted
}

// expectHeld expects that the process is alive within its limits, answers an ordinary caller and knows an
// accepted job.
func (i *platformInstance) expectHeld(acceptedPath string) {
	GinkgoHelper()
	i.expectServing(i.submit)
	i.expectServing(func() error { return call(http.MethodGet, i.callers, testHost, acceptedPath, "", http.StatusOK) })
	i.expectWithinLimits()
}

// Guards against owners that run out of memory, one after the other, because an accepted job has all its
// tasks in memory, also those that can't start yet.
var _ = Describe("An owner of jobs with very many tasks", func() {
	DescribeTable("stays within its memory, and so does the next owner, with jobs", func(count int, body func() string) {
		first := startServePlatform(memoryLimits)
		accepted := first.holdJobs(count, body)
		first.expectHeld(accepted)
		Expect(first.command.Process.Kill()).To(Succeed())
		Eventually(first.exited, exitTimeout).Should(BeClosed())
		next := startOnStore(memoryLimits, first.store)
		next.submitted = first.submitted
		next.expectHeld(accepted)
	},
		Entry("of many repetitions that aren't due", heldJobs, repeatedJob),
		Entry("with a large step that isn't due", heldJobs, wideJob),
		Entry("of very many long-running tasks", heldJobs, longRunningJob),
		Entry("of very many tasks that wait for room", heldJobs, waitingJob),
		Entry("of as many steps as a job may have", heldChains, chainJob),
	)

	// Guards against owners that load more jobs than fit: earlier builds accepted them without a bound.
	It("stays within its memory with stored jobs that don't fit, and knows them all", func() {
		s := newPlatform()
		for n := range storedChains {
			s.put("job", "s0", fmt.Sprintf("%016x", firstHeldJob+n), map[string]any{"Job": storedChain(firstHeldJob + n)})
		}
		i := startOnStore(memoryLimits, s)
		for _, n := range []int{0, storedChains / 2, storedChains - 1} {
			i.expectHeld(fmt.Sprintf("%s%016x", testPrefix, firstHeldJob+n))
		}
	})
})
