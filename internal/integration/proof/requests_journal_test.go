package proof

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// requestRuns returns the journal entries of all executors that record the start of a request.
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

// countRunsWithKey counts the runs of requests with a key.
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

// expectKeyRunning waits until an executor has started a request with the key.
func (d *deployment) expectKeyRunning(key string) {
	GinkgoHelper()
	Eventually(func() int { return d.countRunsWithKey(key) }).WithTimeout(deskMaxDuration).Should(Equal(1), "runs of key %s", key)
}

// stopTraffic removes the faults between entry instances and executors, kills the entry
// instances and waits until all connections to executors are closed, so that every request that
// was sent has arrived.
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

// expectOutcomesMatchJournals checks each reply against the journals: a request with the outcome
// NotRun must not have run, and a completed one must have run.
func (d *deployment) expectOutcomesMatchJournals(replies ...reply) {
	GinkgoHelper()
	ran := map[string]int{}
	for _, run := range d.requestRuns() {
		ran[run.Request]++
	}
	for _, r := range replies {
		switch r.outcome {
		case service.NotRun:
			Expect(ran[r.request]).To(BeZero(), "has the outcome NotRun but ran: %s", r)
		case service.Completed:
			Expect(ran[r.request]).NotTo(BeZero(), "has a response but did not run: %s", r)
		}
	}
}

// expectAtMostOnce checks that no key ran twice and that at most one reply for each key is a
// response of an executor.
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
	responses := map[string]int{}
	for _, r := range replies {
		if r.outcome != service.Completed {
			continue
		}
		responses[r.key]++
		Expect(runs[r.key]).To(Equal(1), "has a response but did not run: %s", r)
		Expect(responses[r.key]).To(Equal(1), "key %s has several responses", r.key)
	}
}

// expectNoCorruptResponses checks that each reply is either complete and correct or visibly cut
// off.
func expectNoCorruptResponses(replies ...reply) {
	GinkgoHelper()
	for _, r := range replies {
		Expect(r.corrupt).To(BeFalse(), "%s", r)
	}
}

// expectRetryAfter checks that each reply without a response of an executor says after which
// time to retry.
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
