package chart

import (
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against charts that don't define a result for every state and event.
var _ = DescribeTable("Parse rejects an invalid chart", func(text, message string) {
	_, err := Parse([]byte(text))
	Expect(err).To(MatchError(ContainSubstring(message)))
},
	Entry("unknown field in the JSON", `{"Nmae":"x"}`, "unknown field"),
	Entry("missing initial state", `{"Initial":"A","States":[{"Name":"B"}]}`, `initial state "A" does not exist`),
	Entry("unreachable state", `{"Initial":"A","States":[{"Name":"A"},{"Name":"B"}]}`, `state "B" is not reachable`),
	Entry("transition to an undefined state", `{"Initial":"A","States":[{"Name":"A","Events":[{"Event":"E","Target":"B"}]}]}`, `target "B" of event "E" does not exist`),
	Entry("state that neither handles nor refuses an event", `{"Initial":"A","States":[{"Name":"A","Events":[{"Event":"E","Target":"B"}]},{"Name":"B"}]}`, `state "B" mentions event "E" 0 times`),
	Entry("state that both handles and refuses an event", `{"Initial":"A","States":[{"Name":"A","Events":[{"Event":"E","Target":"A"}],"Refused":["E"]}]}`, `mentions event "E" 2 times`),
	Entry("final state with transitions", `{"Initial":"A","States":[{"Name":"A","Final":true,"Events":[{"Event":"E","Target":"A"}]}]}`, `final state "A" lists events`),
	Entry("state that is defined twice", `{"Initial":"A","States":[{"Name":"A"},{"Name":"A"}]}`, `state "A" is defined twice`),
)

// expectChart checks that a chart defines exactly the given states and events.
func expectChart[S, E ~string](load func() Machine[S, E], initial S, states []S, events []E) {
	m := load()
	Expect(m.Initial()).To(Equal(initial))
	Expect(m.final).To(HaveLen(len(states)))
	Expect(m.next).To(HaveLen(len(states) * len(events)))
	for _, state := range states {
		for _, event := range events {
			_, err := m.Next(state, event)
			Expect(errors.Is(err, ErrUnknown)).To(BeFalse())
		}
	}
}

var _ = Describe("An embedded chart", func() {
	It("matches the Go constants in its states and events", func() {
		expectChart(Attempt, AttemptQueued,
			[]AttemptState{AttemptQueued, AttemptInDoubt, AttemptRunning, AttemptEnded},
			[]AttemptEvent{AttemptOnSend, AttemptOnSendBack, AttemptOnConfirm, AttemptOnEnd})
		expectChart(Lease, LeaseAbsent, []LeaseState{LeaseAbsent, LeaseHeld, LeaseLate, LeaseUnreachable, LeaseEnded},
			[]LeaseEvent{LeaseOnAnswer, LeaseOnMiss, LeaseOnExpire})
		expectChart(Worker, WorkerHealthy, []WorkerState{WorkerHealthy, WorkerQuarantined, WorkerProbing},
			[]WorkerEvent{WorkerOnQuarantine, WorkerOnProbe, WorkerOnProbeFail, WorkerOnReadmit})
		expectChart(Zone, ZoneIn, []ZoneState{ZoneIn, ZoneOut, ZoneReturning},
			[]ZoneEvent{ZoneOnTakeOut, ZoneOnBringBack, ZoneOnRampComplete})
		expectChart(Ownership, OwnershipUnowned, []OwnershipState{OwnershipUnowned, OwnershipClaiming, OwnershipWaiting, OwnershipRecovering, OwnershipOwned, OwnershipSuspended, OwnershipReleasing},
			[]OwnershipEvent{OwnershipOnClaim, OwnershipOnClaimWon, OwnershipOnClaimLost, OwnershipOnAuthorize, OwnershipOnSuspend, OwnershipOnRecover, OwnershipOnSupersede, OwnershipOnRelease, OwnershipOnReleased})
	})

	// Guards against sending an ended attempt again.
	It("refuses an event in a final state and keeps the state", func() {
		state, err := Attempt().Next(AttemptEnded, AttemptOnSend)
		Expect(err).To(MatchError(ErrRefused))
		Expect(state).To(Equal(AttemptEnded))
		Expect(Attempt().Final(state)).To(BeTrue())
	})

	It("returns ErrUnknown for an undefined state", func() {
		_, err := Attempt().Next("Lost", AttemptOnSend)
		Expect(err).To(MatchError(ErrUnknown))
	})
})

func BenchmarkNext(b *testing.B) {
	m := Attempt()
	for b.Loop() {
		_, _ = m.Next(AttemptQueued, AttemptOnSend)
	}
}
