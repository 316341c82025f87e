package admission_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

var start = time.Unix(1000, 0)

// newTrainedController returns the controller of a service whose executors a and b have always
// responded in 20 ms.
func newTrainedController() *admission.Controller {
	c := &admission.Controller{}
	for range 200 {
		observe(c, "a", 20*time.Millisecond, false)
		observe(c, "b", 20*time.Millisecond, false)
	}
	return c
}

func observe(c *admission.Controller, id membership.InstanceID, duration time.Duration, failed bool) {
	c.Observe(start, id, admission.Observation{Duration: duration, Failed: failed})
}

func request(id string, timeout time.Duration) admission.Request {
	return admission.Request{ID: id, Deadline: start.Add(timeout)}
}

func candidates(inUseA, inUseB int) []admission.Candidate {
	return []admission.Candidate{
		{Executor: "a", Slots: 4, InUse: inUseA},
		{Executor: "b", Slots: 4, InUse: inUseB},
	}
}

func expectServed(decision admission.Decision, by membership.InstanceID) {
	GinkgoHelper()
	Expect(decision.Action).To(Equal(admission.Serve), "refused: %s", decision.Reason)
	Expect(decision.Choice.Executor).To(Equal(by))
}

func expectRefused(decision admission.Decision, reason admission.Reason) {
	GinkgoHelper()
	Expect(decision.Action).To(Equal(admission.Refuse))
	Expect(decision.Reason).To(Equal(reason))
	Expect(decision.RetryAfter).To(BeNumerically(">", 0))
}

var _ = Describe("Controller", func() {
	It("chooses the least loaded executor", func() {
		expectServed(newTrainedController().Admit(start, request("1", time.Second), candidates(2, 1)), "b")
	})

	// timeOutRepeatedly reports attempts on executors that got no response in time.
	timeOutRepeatedly := func(c *admission.Controller, ids ...membership.InstanceID) {
		for range 12 {
			for _, id := range ids {
				c.Observe(start, id, admission.Observation{Duration: 600 * time.Millisecond, Failed: true, Cancelled: true})
			}
		}
	}

	// Guards against refusing requests forever although the executors respond again.
	It("uses unresponsive executors when there are no others", func() {
		c := newTrainedController()
		timeOutRepeatedly(c, "a", "b")
		once := request("1", 500*time.Millisecond)
		once.NonIdempotent = true
		Expect(c.Admit(start, once, candidates(0, 0)).Action).To(Equal(admission.Serve))
	})

	// Guards against queueing requests while slots are free.
	It("refuses a request immediately when no executor can meet its deadline", func() {
		c := newTrainedController()
		far := []admission.Candidate{{Executor: "a", Slots: 4, RoundTrip: time.Second}}
		expectRefused(c.Admit(start, request("1", 500*time.Millisecond), far), admission.DeadlineTooShort)
		Expect(c.WaitingCount()).To(BeZero())
	})

	// Guards against queueing the retry until its deadline.
	It("retries on the same executor when no other is left", func() {
		retry := request("1", time.Second)
		retry.Exclude = []membership.InstanceID{"a"}
		expectServed(newTrainedController().Admit(start, retry, candidates(0, 3)), "b")
		avoided := newTrainedController()
		for range 3 {
			observe(avoided, "b", time.Millisecond, true)
		}
		expectServed(avoided.Admit(start, retry, candidates(0, 3)), "a")
		retry.Exclude = []membership.InstanceID{"a", "b"}
		expectServed(newTrainedController().Admit(start, retry, candidates(0, 3)), "a")
		retry.Immediate = true
		expectRefused(newTrainedController().Admit(start, retry, candidates(0, 3)), admission.NoFreeSlot)
	})

	// Guards against needless cost for traffic on the link between regions.
	It("prefers nearby executors to distant ones", func() {
		near := candidates(3, 3)
		far := append(near, admission.Candidate{Executor: "far", Distance: admission.OtherRegion, Slots: 100})
		Expect(newTrainedController().Admit(start, request("1", time.Second), far).Choice.Distance).To(Equal(admission.SameZone))
		far[0].InUse, far[1].InUse = 4, 4
		expectServed(newTrainedController().Admit(start, request("1", time.Second), far), "far")
	})

	// Guards against an executor that is never used again after failures.
	It("avoids a failing executor and probes it later", func() {
		c := newTrainedController()
		for range 3 {
			observe(c, "a", time.Millisecond, true)
		}
		expectServed(c.Admit(start, request("1", time.Second), candidates(0, 3)), "b")
		later := start.Add(time.Second)
		decision := c.Admit(later, request("2", 2*time.Second), candidates(0, 3))
		expectServed(decision, "a")
		Expect(decision.Choice.Probe).To(BeTrue())
		expectServed(c.Admit(later, request("3", 2*time.Second), candidates(0, 3)), "b")
		c.Observe(later, "a", admission.Observation{Duration: 20 * time.Millisecond})
		expectServed(c.Admit(later, request("4", 2*time.Second), candidates(0, 3)), "a")
	})

	It("never probes with a non-idempotent request", func() {
		c := newTrainedController()
		for range 3 {
			observe(c, "a", time.Millisecond, true)
		}
		r := request("1", 2*time.Second)
		r.NonIdempotent = true
		expectServed(c.Admit(start.Add(time.Second), r, candidates(0, 3)), "b")
	})

	// Guards against refusing nearly every request with DeadlineTooShort after an instance
	// was frozen with requests in flight. Their responses are ready when it resumes and seem
	// to have taken as long as the freeze.
	It("serves requests as before after the process was suspended", func() {
		c := newTrainedController()
		for range 12 {
			c.Observe(start, "a", admission.Observation{Duration: 18 * time.Second, Timeout: 2 * time.Second})
		}
		expectServed(c.Admit(start, request("1", time.Second), candidates(0, 4)), "a")
		Expect(c.Admit(start, request("2", time.Second), candidates(4, 4)).Action).To(Equal(admission.Wait))
	})

	// Guards against refusing requests forever although the executors have become fast.
	It("uses executors again some time after they were too slow", func() {
		c := &admission.Controller{}
		for range 200 {
			observe(c, "a", 3*time.Second, false)
			observe(c, "b", 3*time.Second, false)
		}
		expectRefused(c.Admit(start, request("1", time.Second), candidates(0, 0)), admission.DeadlineTooShort)
		later := start.Add(15 * time.Second)
		expectServed(c.Admit(later, request("2", 16*time.Second), candidates(0, 0)), "a")
	})

	// Guards against queueing such requests until their deadline.
	It("immediately refuses requests that can't meet their deadline", func() {
		c := newTrainedController()
		expectRefused(c.Admit(start, request("1", 5*time.Millisecond), candidates(4, 4)), admission.DeadlineTooShort)
		refused := admission.Decision{Action: admission.Wait}
		for i := 0; refused.Action == admission.Wait; i++ {
			refused = c.Admit(start, request(fmt.Sprint(i), 100*time.Millisecond), candidates(4, 4))
		}
		expectRefused(refused, admission.Overload)
		Expect(c.WaitingCount()).To(BeNumerically("~", 16, 2), "the queue takes up 80 ms with 8 slots at 20 ms each and a waitMargin of 2")
		expectRefused(c.Admit(start, request("x", time.Second), nil), admission.NoSlots)
	})

	It("drops a waiting request once it can no longer meet its deadline", func() {
		c := newTrainedController()
		Expect(c.Admit(start, request("1", 100*time.Millisecond), candidates(4, 4)).Action).To(Equal(admission.Wait))
		at, ok := c.NextExpiry(start)
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("~", start.Add(80*time.Millisecond), time.Millisecond))
		Expect(c.Expire(at)).To(BeEmpty())
		Expect(c.Expire(at.Add(time.Millisecond))).To(Equal([]string{"1"}))
		Expect(c.WaitingCount()).To(BeZero())
	})

	It("serves waiting requests in order of arrival and skips removed ones", func() {
		c := newTrainedController()
		for _, id := range []string{"1", "2", "3"} {
			c.Admit(start, request(id, time.Second), candidates(4, 4))
		}
		Expect(c.Remove("1")).To(BeTrue())
		id, choice, ok := c.Next(start, candidates(3, 4))
		Expect([]any{id, choice.Executor, ok}).To(Equal([]any{"2", membership.InstanceID("a"), true}))
	})

	// Guards against a retry storm.
	It("limits retries to a share of the requests", func() {
		var b admission.RetryBudget
		Expect(b.Spend()).To(BeFalse())
		for range 100 {
			b.Credit(20)
		}
		Expect([]bool{b.Spend(), b.Spend(), b.Spend()}).To(Equal([]bool{true, true, false}))
	})

	It("returns a hedge delay only after enough samples", func() {
		_, ok := (&admission.Controller{}).HedgeDelay(start, 99)
		Expect(ok).To(BeFalse())
		delay, ok := newTrainedController().HedgeDelay(start, 99)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	})
})

var _ = Describe("Experiment", func() {
	// Guards against a collapse of throughput under overload.
	It("sustains the rate of in-time responses beyond full load", func() {
		e := admission.DefaultExperiment(1)
		e.Executors, e.Instances = 16, 4
		e.Warmup, e.MeasuredDuration = time.Second, 2*time.Second
		e.LoadPercents = []int{110, 200}
		rows, err := e.Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		byLoad := map[int]admission.Row{}
		for _, row := range rows {
			if row.Policy == admission.PolicyAdmission {
				byLoad[row.LoadPercent] = row
			}
		}
		Expect(byLoad[200].InTimeRate).To(BeNumerically(">=", 0.98*byLoad[110].InTimeRate))
		Expect(byLoad[110].InTimeRate).To(BeNumerically(">=", 0.9*e.Capacity()))
		Expect(byLoad[200].LateShare).To(BeNumerically("<", 0.01))
	})
})
