package queue_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Queue")
}

var _ = Describe("Check", func() {
	It("accepts a valid job", func() {
		Expect(queue.Check(&dispatch.Job{Steps: []dispatch.Step{{Tasks: 3}, {Tasks: 2, After: []int{0}}}})).To(Succeed())
	})

	It("reports all faults of a job at once, each with its place", func() {
		j := dispatch.Job{
			Spec:        strings.Repeat("x", 4001),
			Steps:       []dispatch.Step{{Tasks: 0}, {Tasks: 1, After: []int{1}}},
			Repetitions: 2,
		}
		Expect(queue.Check(&j)).To(MatchError(And(
			ContainSubstring("spec has 4001 bytes"), ContainSubstring("step 0 has 0 tasks"),
			ContainSubstring("step 1 comes after step 1"), ContainSubstring("interval"))))
	})

	It("lists a bounded number of faults, however many a job has", func() {
		err := queue.Check(&dispatch.Job{Steps: []dispatch.Step{{Tasks: 1, After: make([]int, 100_000)}}})
		Expect(err).To(MatchError(And(ContainSubstring("step 0 comes after step 0"), ContainSubstring("99900 other faults"))))
		Expect(len(err.Error())).To(BeNumerically("<", 10_000))
	})

	It("limits the total number of tasks of all repetitions", func() {
		j := dispatch.Job{Steps: []dispatch.Step{{Tasks: 2000}}, Repetitions: 1000, Interval: time.Second}
		Expect(queue.Check(&j)).To(MatchError(ContainSubstring("2000000 tasks")))
	})
})

var _ = Describe("Configuration", func() {
	It("matches the route of the host with the longest prefix of the path", func() {
		c := queue.Configuration{Routes: []queue.Route{
			{Host: "h", Prefix: "/a/", Queue: "short"}, {Host: "h", Prefix: "/a/b/", Queue: "long"}, {Host: "other", Prefix: "/a/b/c/", Queue: "other"},
		}}
		r, ok := c.Match("h", "/a/b/c/1")
		Expect(ok).To(BeTrue())
		Expect(r.Queue).To(Equal(dispatch.QueueName("long")))
		_, ok = c.Match("h", "/x")
		Expect(ok).To(BeFalse())
	})
})
