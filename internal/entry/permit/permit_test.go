package permit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
)

func TestPermit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Permit")
}

var _ = Describe("Permit", func() {
	var (
		clock *clockwork.FakeClock
		p     *Permit
	)

	in, out := zone.Status{Service: zone.In}, zone.Status{Service: zone.Out}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = &Permit{Clock: clock, RampDuration: func() time.Duration { return 10 * time.Second }}
	})

	expectStarts := func(allowed bool) {
		GinkgoHelper()
		_, ok := p.StartsUntil(clock.Now())
		Expect(ok).To(Equal(allowed))
	}

	// Guards against starts before the zone's row was ever read.
	It("allows nothing before the first read", func() {
		expectStarts(false)
	})

	// Guards against starts in a zone that was taken out while it can't read the table.
	It("ends a term after the beginning of the last read", func() {
		p.Observe(clock.Now(), in)
		clock.Advance(Term - time.Millisecond)
		expectStarts(true)
		clock.Advance(time.Millisecond)
		expectStarts(false)
	})

	// Guards against an answer that arrives late and reverts a newer one.
	It("ignores a read that began earlier", func() {
		began := clock.Now()
		clock.Advance(time.Second)
		p.Observe(clock.Now(), out)
		p.Observe(began, in)
		expectStarts(false)
		Expect(p.IsOut()).To(BeTrue())
	})

	// Guards against a stampede of starts when a zone returns.
	It("ramps starts up after a return only", func() {
		p.Observe(clock.Now(), in)
		Expect(p.Ramp(clock.Now())).To(BeZero())
		p.Observe(clock.Now(), out)
		p.Observe(clock.Now(), in)
		first := p.Ramp(clock.Now())
		clock.Advance(5 * time.Second)
		Expect(p.Ramp(clock.Now())).To(BeNumerically(">", first))
		clock.Advance(5 * time.Second)
		Expect(p.Ramp(clock.Now())).To(BeZero())
	})
})
