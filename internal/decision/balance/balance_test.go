package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/balance"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

// Replays quiet-1 of a grown site: 80% of the processors were reserved by long-running
// jobs of 14 tasks, spread by id alone, and one of five shards had no room for a task
// that others had room for.
var _ = Describe("Choose", func() {
	full := balance.Load{Capacity: 100_000, Lasting: 95_000, Filling: 20 * time.Second}
	even := balance.Load{Capacity: 100_000, Lasting: 80_000, Filling: 20 * time.Second}
	free := balance.Load{Capacity: 100_000, Lasting: 70_000, Filling: 20 * time.Second}
	busy := balance.Load{Capacity: 100_000, Lasting: 80_000, Filling: 90 * time.Second}
	unknown := balance.Load{}
	lasting := balance.Demand{Lasting: 10_000}
	batch := balance.Demand{Filling: 10 * time.Second}

	It("gives a long-running job to the emptiest shard", func() {
		Expect(balance.Choose(0, lasting, []balance.Load{full, even, free})).To(Equal(2))
		Expect(balance.Choose(2, lasting, []balance.Load{full, even, free})).To(Equal(2))
	})

	It("gives a batch job to the shard that is done first", func() {
		Expect(balance.Choose(0, batch, []balance.Load{busy, even, busy})).To(Equal(1))
	})

	// Replays the same day: urgent tasks waited seconds for processors to reserve in a
	// shard that long-running tasks had filled, though it had little work to do.
	It("gives a job that reserves processors to a shard that has some left", func() {
		urgent := balance.Demand{Reserving: 10 * time.Second}
		packed := balance.Load{Capacity: 100_000, Lasting: 95_000, Reserving: 10 * time.Second}
		roomy := balance.Load{Capacity: 100_000, Lasting: 80_000, Reserving: 10 * time.Second, Filling: 90 * time.Second}
		Expect(balance.Choose(0, urgent, []balance.Load{packed, roomy})).To(Equal(1))
	})

	It("leaves a job where it is when little is gained", func() {
		near := even
		near.Lasting -= 1000
		Expect(balance.Choose(0, lasting, []balance.Load{even, near})).To(Equal(0))
		Expect(balance.Choose(0, batch, []balance.Load{even, near})).To(Equal(0))
	})

	It("gives nothing to a shard of which nothing is known, and takes all from one without workers", func() {
		Expect(balance.Choose(0, lasting, []balance.Load{full, unknown})).To(Equal(0))
		Expect(balance.Choose(0, batch, []balance.Load{unknown, busy})).To(Equal(1))
		Expect(balance.Choose(0, batch, []balance.Load{unknown, unknown})).To(Equal(0))
	})
})
