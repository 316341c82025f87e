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

// learned returns a service whose executors a and b usually answer in 20 ms.
func learned() *admission.Service {
	s := &admission.Service{}
	for range 200 {
		observe(s, "a", 20*time.Millisecond, false)
		observe(s, "b", 20*time.Millisecond, false)
	}
	return s
}

func observe(s *admission.Service, id membership.InstanceID, took time.Duration, failed bool) {
	s.Observe(start, id, admission.Observation{Took: took, Failed: failed})
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

func expectServed(v admission.Verdict, by membership.InstanceID) {
	GinkgoHelper()
	Expect(v.Action).To(Equal(admission.Serve), "refused: %s", v.Reason)
	Expect(v.Choice.Executor).To(Equal(by))
}

func expectRefused(v admission.Verdict, reason admission.Reason) {
	GinkgoHelper()
	Expect(v.Action).To(Equal(admission.Refuse))
	Expect(v.Reason).To(Equal(reason))
	Expect(v.RetryAfter).To(BeNumerically(">", 0))
}

var _ = Describe("Service", func() {
	It("chooses the least loaded executor", func() {
		expectServed(learned().Arrive(start, request("1", time.Second), candidates(2, 1)), "b")
	})

	silence := func(s *admission.Service, ids ...membership.InstanceID) {
		for range 12 {
			for _, id := range ids {
				s.Observe(start, id, admission.Observation{Took: 600 * time.Millisecond, Failed: true, Cancelled: true})
			}
		}
	}

	It("sends to silent executors when there are no others, against refusing forever once they answer", func() {
		s := learned()
		silence(s, "a", "b")
		once := request("1", 500*time.Millisecond)
		once.NonIdempotent = true
		Expect(s.Arrive(start, once, candidates(0, 0)).Action).To(Equal(admission.Serve))
	})

	It("refuses at once when no executor is in time, against holding requests beside free slots", func() {
		s := learned()
		far := []admission.Candidate{{Executor: "a", Slots: 4, RoundTrip: time.Second}}
		expectRefused(s.Arrive(start, request("1", 500*time.Millisecond), far), admission.DeadlineTooShort)
		Expect(s.Waiting()).To(BeZero())
	})

	It("retries on an executor again when none is left, against holding the request until its deadline", func() {
		retry := request("1", time.Second)
		retry.Exclude = []membership.InstanceID{"a"}
		expectServed(learned().Arrive(start, retry, candidates(0, 3)), "b")
		avoided := learned()
		for range 3 {
			observe(avoided, "b", time.Millisecond, true)
		}
		expectServed(avoided.Arrive(start, retry, candidates(0, 3)), "a")
		retry.Exclude = []membership.InstanceID{"a", "b"}
		expectServed(learned().Arrive(start, retry, candidates(0, 3)), "a")
		retry.Immediate = true
		expectRefused(learned().Arrive(start, retry, candidates(0, 3)), admission.NoFreeSlot)
	})

	It("prefers near executors, against paying for the link between regions", func() {
		near := candidates(3, 3)
		far := append(near, admission.Candidate{Executor: "far", Distance: admission.Far, Slots: 100})
		Expect(learned().Arrive(start, request("1", time.Second), far).Choice.Distance).To(Equal(admission.SameZone))
		far[0].InUse, far[1].InUse = 4, 4
		expectServed(learned().Arrive(start, request("1", time.Second), far), "far")
	})

	It("avoids an executor that fails and probes it later, against losing it for good", func() {
		s := learned()
		for range 3 {
			observe(s, "a", time.Millisecond, true)
		}
		expectServed(s.Arrive(start, request("1", time.Second), candidates(0, 3)), "b")
		later := start.Add(time.Second)
		v := s.Arrive(later, request("2", 2*time.Second), candidates(0, 3))
		expectServed(v, "a")
		Expect(v.Choice.Probe).To(BeTrue())
		expectServed(s.Arrive(later, request("3", 2*time.Second), candidates(0, 3)), "b")
		s.Observe(later, "a", admission.Observation{Took: 20 * time.Millisecond})
		expectServed(s.Arrive(later, request("4", 2*time.Second), candidates(0, 3)), "a")
	})

	It("never probes with a non-idempotent request", func() {
		s := learned()
		for range 3 {
			observe(s, "a", time.Millisecond, true)
		}
		r := request("1", 2*time.Second)
		r.NonIdempotent = true
		expectServed(s.Arrive(start.Add(time.Second), r, candidates(0, 3)), "b")
	})

	// Guards against an instance that was frozen with requests in flight: their answers lie
	// ready when it wakes, and seem to have taken as long as the freeze.
	It("serves after a freeze as before, against refusing nearly everything for want of time", func() {
		s := learned()
		for range 12 {
			s.Observe(start, "a", admission.Observation{Took: 18 * time.Second, Limit: 2 * time.Second})
		}
		expectServed(s.Arrive(start, request("1", time.Second), candidates(0, 4)), "a")
		Expect(s.Arrive(start, request("2", time.Second), candidates(4, 4)).Action).To(Equal(admission.Wait))
	})

	It("tries executors again that were too slow, against refusing for ever once they are fast", func() {
		s := &admission.Service{}
		for range 200 {
			observe(s, "a", 3*time.Second, false)
			observe(s, "b", 3*time.Second, false)
		}
		expectRefused(s.Arrive(start, request("1", time.Second), candidates(0, 0)), admission.DeadlineTooShort)
		later := start.Add(15 * time.Second)
		expectServed(s.Arrive(later, request("2", 16*time.Second), candidates(0, 0)), "a")
	})

	It("refuses at once what can't be in time, against holding it until the deadline", func() {
		s := learned()
		expectRefused(s.Arrive(start, request("1", 5*time.Millisecond), candidates(4, 4)), admission.DeadlineTooShort)
		refused := admission.Verdict{Action: admission.Wait}
		for i := 0; refused.Action == admission.Wait; i++ {
			refused = s.Arrive(start, request(fmt.Sprint(i), 100*time.Millisecond), candidates(4, 4))
		}
		expectRefused(refused, admission.Overload)
		Expect(s.Waiting()).To(BeNumerically("~", 16, 2), "80 ms for 8 slots at 20 ms, with the margin of 2")
		expectRefused(s.Arrive(start, request("x", time.Second), nil), admission.NoSlots)
	})

	It("drops waiting requests when their deadline can't be met any more", func() {
		s := learned()
		Expect(s.Arrive(start, request("1", 100*time.Millisecond), candidates(4, 4)).Action).To(Equal(admission.Wait))
		at, ok := s.NextExpiry(start)
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("~", start.Add(80*time.Millisecond), time.Millisecond))
		Expect(s.Expire(at)).To(BeEmpty())
		Expect(s.Expire(at.Add(time.Millisecond))).To(Equal([]string{"1"}))
		Expect(s.Waiting()).To(BeZero())
	})

	It("serves waiting requests in order and skips those that left", func() {
		s := learned()
		for _, id := range []string{"1", "2", "3"} {
			s.Arrive(start, request(id, time.Second), candidates(4, 4))
		}
		Expect(s.Leave("1")).To(BeTrue())
		id, choice, ok := s.Next(start, candidates(3, 4))
		Expect([]any{id, choice.Executor, ok}).To(Equal([]any{"2", membership.InstanceID("a"), true}))
	})

	It("bounds retries to a share of requests, against a retry storm", func() {
		var b admission.Budget
		Expect(b.Take()).To(BeFalse())
		for range 100 {
			b.Arrived(20)
		}
		Expect([]bool{b.Take(), b.Take(), b.Take()}).To(Equal([]bool{true, true, false}))
	})

	It("knows the hedge delay only after enough answers", func() {
		_, ok := (&admission.Service{}).HedgeDelay(start, 99)
		Expect(ok).To(BeFalse())
		delay, ok := learned().HedgeDelay(start, 99)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	})
})

var _ = Describe("Experiment", func() {
	It("keeps the rate of in-time answers past full load, against collapse under overload", func() {
		e := admission.DefaultExperiment(1)
		e.Executors, e.Instances = 16, 4
		e.Warmup, e.Measured = time.Second, 2*time.Second
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
