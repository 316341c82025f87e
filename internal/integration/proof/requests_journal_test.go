package proof

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// requestRuns returns the journal entries of all executors about requests that ran.
func (d *deployment) requestRuns() []executor.Event {
	GinkgoHelper()
	var runs []executor.Event
	for _, e := range d.executors {
		for _, event := range readJournal[executor.Event](e.journal) {
			if event.Kind == executor.EventStarted {
				runs = append(runs, event)
			}
		}
	}
	return runs
}

// countRunsWithKey counts the runs with a key.
func (d *deployment) countRunsWithKey(key string) int {
	GinkgoHelper()
	count := 0
	for _, run := range d.requestRuns() {
		if run.Key == key {
			count++
		}
	}
	return count
}

// expectKeyRunning waits until a request with a key runs.
func (d *deployment) expectKeyRunning(key string) {
	GinkgoHelper()
	Eventually(func() int { return d.countRunsWithKey(key) }).WithTimeout(deskMaxDuration).Should(Equal(1), "runs of key %s", key)
}

// stopTraffic lifts the faults between entry instances and executors, ends the entry
// instances and waits until what they sent has arrived and its answers have ended.
func (d *deployment) stopTraffic() {
	GinkgoHelper()
	d.setExecutorProxyFaults(proxy.Faults{})
	for _, e := range d.entries {
		e.kill()
	}
	for _, e := range d.executors {
		Eventually(e.proxy.Connections).WithTimeout(trafficEndTimeout).Should(BeZero(), "connections to %s", e.id)
	}
}

// expectOutcomesMatchJournals checks each reply against the journals: a request that was refused as
// not run never ran, and one with an answer did.
func (d *deployment) expectOutcomesMatchJournals(replies ...reply) {
	GinkgoHelper()
	ran := map[string]int{}
	for _, run := range d.requestRuns() {
		ran[run.Request]++
	}
	for _, r := range replies {
		switch r.outcome {
		case service.NotRun:
			Expect(ran[r.request]).To(BeZero(), "was refused as not run but ran: %s", r)
		case service.Completed:
			Expect(ran[r.request]).NotTo(BeZero(), "has an answer but did not run: %s", r)
		}
	}
}

// expectAtMostOnce checks that no key ran twice, and that at most one reply of each
// key is an executor's answer.
func (d *deployment) expectAtMostOnce(replies ...reply) {
	GinkgoHelper()
	runs := map[string]int{}
	for _, run := range d.requestRuns() {
		if run.Key != "" {
			runs[run.Key]++
		}
	}
	for key, count := range runs {
		Expect(count).To(Equal(1), "key %s ran %d times", key, count)
	}
	answers := map[string]int{}
	for _, r := range replies {
		if r.outcome != service.Completed {
			continue
		}
		answers[r.key]++
		Expect(runs[r.key]).To(Equal(1), "has an answer but did not run: %s", r)
		Expect(answers[r.key]).To(Equal(1), "key %s has several answers", r.key)
	}
}

// expectNoCorruptResponses checks that no answer which looks complete is not.
func expectNoCorruptResponses(replies ...reply) {
	GinkgoHelper()
	for _, r := range replies {
		Expect(r.corrupt).To(BeFalse(), "%s", r)
	}
}

// expectRetryAfter checks that each request without an executor's answer got a time
// at which to retry.
func expectRetryAfter(replies ...reply) {
	GinkgoHelper()
	for _, r := range replies {
		if r.err == nil && r.outcome != service.Completed {
			Expect(r.outcome).To(BeElementOf(service.NotRun, service.Unknown), "%s", r)
			Expect(r.retryAfter).To(BeNumerically(">", 0), "%s", r)
		}
	}
}

// countByOutcome counts replies by outcome and reason, for the report of a spec.
func countByOutcome(replies []reply) map[string]int {
	counts := map[string]int{}
	for _, r := range replies {
		name := string(r.outcome)
		if r.reason != "" {
			name += " " + string(r.reason)
		}
		if r.err != nil {
			name += " cut"
		}
		counts[name]++
	}
	return counts
}
