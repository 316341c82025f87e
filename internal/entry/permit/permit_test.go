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

	in, out := zone.Status{Service: zone.InService}, zone.Status{Service: zone.OutOfService}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = &Permit{Clock: clock, RampDuration: func() time.Duration { return 10 * time.Second }}
	})

	expectStartsPermitted := func(permitted bool) {
		GinkgoHelper()
		_, ok := p.StartsUntil(clock.Now())
		Expect(ok).To(Equal(permitted))
	}

	// Guards against task starts before the zone's row has been read.
	It("permits no starts before the first read", func() {
		expectStartsPermitted(false)
	})

	// Guards against task starts in a zone that is taken out of service while its instance
	// can't read the table.
	It("expires after its validity, counted from the start of the last read", func() {
		p.Observe(clock.Now(), in)
		clock.Advance(Validity - time.Millisecond)
		expectStartsPermitted(true)
		clock.Advance(time.Millisecond)
		expectStartsPermitted(false)
	})

	// Guards against a read whose response arrives late and overwrites a newer status.
	It("ignores a read that started before the last one", func() {
		earlier := clock.Now()
		clock.Advance(time.Second)
		p.Observe(clock.Now(), out)
		p.Observe(earlier, in)
		expectStartsPermitted(false)
		Expect(p.IsOutOfService()).To(BeTrue())
	})

	// Guards against a burst of task starts when a zone returns to service.
	It("ramps up the start rate only after a return to service", func() {
		p.Observe(clock.Now(), in)
		Expect(p.StartRateLimit(clock.Now())).To(BeZero())
		p.Observe(clock.Now(), out)
		p.Observe(clock.Now(), in)
		initial := p.StartRateLimit(clock.Now())
		clock.Advance(5 * time.Second)
		Expect(p.StartRateLimit(clock.Now())).To(BeNumerically(">", initial))
		clock.Advance(5 * time.Second)
		Expect(p.StartRateLimit(clock.Now())).To(BeZero())
	})
})
