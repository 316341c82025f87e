package reservation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/forecast"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/reservation"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func TestReservation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reservation")
}

var now = time.Unix(1000, 0)

func cores(n resource.MilliProcessors) resource.Vector { return resource.Vector{Processors: 1000 * n} }

func after(seconds float64) time.Time {
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

func release(seconds float64, n resource.MilliProcessors) forecast.Release {
	return forecast.Release{At: after(seconds), Amount: cores(n)}
}

func room(free resource.MilliProcessors, releases ...forecast.Release) forecast.Room {
	return forecast.Room{Free: cores(free), Releases: releases}
}

func candidate(id membership.InstanceID, r forecast.Room) reservation.Candidate {
	return reservation.Candidate{Worker: id, Rack: reservation.Rack("rack-" + id[:1]), Room: r}
}

func request(n resource.MilliProcessors, tasks int) reservation.Request {
	return reservation.Request{Holder: reservation.Holder{Job: "large"}, Rank: 1, Need: cores(n), Tasks: tasks}
}

var _ = Describe("Earliest", func() {
	plan := func(r reservation.Request, candidates ...reservation.Candidate) reservation.Plan {
		p, found := reservation.Earliest(now, after(10), r, candidates)
		Expect(found).To(BeTrue())
		return p
	}

	It("plans a task where room becomes free first", func() {
		p := plan(request(8, 1), candidate("a", room(6, release(3, 4))), candidate("b", room(1, release(2, 8))))
		Expect(p).To(Equal(reservation.Plan{At: after(2), Places: []reservation.Place{{Worker: "b", Tasks: 1}}}))
	})

	It("takes the worker with the least room left of those that are free at the same time", func() {
		p := plan(request(4, 1), candidate("a", room(16)), candidate("b", room(5)))
		Expect(p.Places[0].Worker).To(BeEquivalentTo("b"))
	})

	It("waits for a worker on which the task ends first although it starts later", func() {
		slow := candidate("a", room(8))
		slow.Penalty = 2 * time.Second
		Expect(plan(request(8, 1), slow, candidate("b", room(0, release(1, 8)))).Places[0].Worker).To(BeEquivalentTo("b"))
	})

	It("plans nothing that isn't expected within the horizon", func() {
		_, found := reservation.Earliest(now, after(10), request(8, 1), []reservation.Candidate{
			candidate("a", room(0, release(11, 8))), candidate("b", room(4)),
		})
		Expect(found).To(BeFalse())
	})

	It("plans all members of a gang for the time at which the last of them fits", func() {
		p := plan(request(4, 3), candidate("a", room(4, release(5, 8))), candidate("b", room(0, release(2, 8))))
		Expect(p.At).To(Equal(after(2)))
		Expect(p.Places).To(Equal([]reservation.Place{{Worker: "b", Tasks: 2}, {Worker: "a", Tasks: 1}}))
	})

	It("plans a gang that needs one rack in the rack that has room first", func() {
		r := request(4, 2)
		r.OneRack = true
		p := plan(r, candidate("a1", room(4)), candidate("b1", room(4)),
			candidate("a2", room(0, release(3, 4))), candidate("b2", room(0, release(2, 4))))
		Expect(p.At).To(Equal(after(2)))
		Expect(p.Places).To(ConsistOf(reservation.Place{Worker: "b1", Tasks: 1}, reservation.Place{Worker: "b2", Tasks: 1}))
	})

	It("plans no gang that can't be complete within the horizon", func() {
		_, found := reservation.Earliest(now, after(10), request(4, 3), []reservation.Candidate{candidate("a", room(4, release(1, 4)))})
		Expect(found).To(BeFalse())
	})

	It("observes the limit of tasks on a worker", func() {
		spread := candidate("a", room(16))
		spread.MaxTasks = 1
		p := plan(request(4, 2), spread, candidate("b", room(0, release(3, 4))))
		Expect(p).To(Equal(reservation.Plan{At: after(3), Places: []reservation.Place{{Worker: "a", Tasks: 1}, {Worker: "b", Tasks: 1}}}))
	})
})

var _ = Describe("A reservation", func() {
	// reserve returns a reservation of eight cores that are expected in two seconds, when two more are free.
	reserve := func() (*reservation.Book, *reservation.Reservation) {
		book := &reservation.Book{}
		r := room(4, release(2, 6))
		p, _ := reservation.Earliest(now, after(10), request(8, 1), []reservation.Candidate{candidate("a", r)})
		made := book.Add(now, request(8, 1), p)[0]
		Expect(made.Refresh(now, r)).To(BeTrue())
		return book, made
	}
	small := func(n resource.MilliProcessors, endsAfter float64) reservation.Start {
		return reservation.Start{Holder: reservation.Holder{Job: "small"}, Rank: 1, Need: cores(n), EndsBy: after(endsAfter)}
	}

	It("admits a task that ends before the room is needed", func() {
		_, made := reserve()
		Expect(made.Admit(small(4, 2))).To(Equal(reservation.Backfilled))
	})

	It("refuses a task that would take the room for longer", func() {
		_, made := reserve()
		Expect(made.Admit(small(4, 2.1))).To(Equal(reservation.Refused))
	})

	It("admits tasks until the room that it doesn't need is taken", func() {
		_, made := reserve()
		Expect(made.Admit(small(2, 60))).To(Equal(reservation.FitsBeside))
		made.Occupy(small(2, 60), reservation.FitsBeside)
		Expect(made.Admit(small(1, 60))).To(Equal(reservation.Refused))
	})

	It("refuses a task of unknown length that would take the room", func() {
		_, made := reserve()
		lasting := small(4, 0)
		lasting.EndsBy = time.Time{}
		Expect(made.Admit(lasting)).To(Equal(reservation.Refused))
	})

	It("admits more urgent tasks", func() {
		_, made := reserve()
		urgent := small(4, 60)
		urgent.Rank = 0
		Expect(made.Admit(urgent)).To(Equal(reservation.MoreUrgent))
	})

	It("is fulfilled by the start of its task", func() {
		book, made := reserve()
		Expect(book.Fulfill("a", reservation.Holder{Job: "other"})).To(BeNil())
		Expect(book.Fulfill("a", made.Holder)).To(Equal(made))
		Expect(book.Len()).To(BeZero())
	})

	It("misses its time when a run takes longer than expected", func() {
		_, made := reserve()
		Expect(made.HasMissed(after(2.4))).To(BeFalse())
		Expect(made.HasMissed(after(2.6))).To(BeTrue())
		Expect(made.Refresh(now, room(4, release(9, 6)))).To(BeTrue())
		Expect(made.HasMissed(now)).To(BeTrue())
	})

	It("of a gang member isn't due before all members have room", func() {
		early := room(4)
		p, _ := reservation.Earliest(now, after(10), request(4, 2), []reservation.Candidate{
			candidate("a", early), candidate("b", room(0, release(3, 4))),
		})
		made := (&reservation.Book{}).Add(now, request(4, 2), p)
		Expect(made).To(HaveLen(2))
		Expect(made[0].Worker).To(BeEquivalentTo("a"))
		Expect(made[0].Refresh(now, early)).To(BeTrue())
		Expect(made[0].Admit(small(4, 3))).To(Equal(reservation.Backfilled))
	})

	It("reports that its room will never be free", func() {
		_, made := reserve()
		Expect(made.Refresh(now, room(4))).To(BeFalse())
	})
})
