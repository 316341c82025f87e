package intake

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crowd is a budget with leases, at a time that the spec sets.
type crowd struct {
	*Budget
	now   time.Time
	ended []string
}

func newCrowd(total Bytes) *crowd {
	return &crowd{Budget: NewBudget(total), now: time.Unix(1000, 0)}
}

// arrive returns the lease of a request that arrives from now on.
func (c *crowd) arrive(name string) *Lease {
	l := c.NewLease(func() { c.ended = append(c.ended, name) })
	l.Reading(c.now)
	return l
}

// hold makes requests arrive that take all but the reserve.
func (c *crowd) hold() *Lease {
	GinkgoHelper()
	l := c.arrive("large")
	Expect(l.Take(c.now, c.total-c.reserve)).To(Succeed())
	return l
}

const testBudget = 64 * smallRequestBytes

var _ = Describe("Budget", func() {
	It("keeps a share for small requests while large ones hold the rest", func() {
		c := newCrowd(testBudget)
		c.hold()
		Expect(c.arrive("other").Take(c.now, smallRequestBytes+1)).To(MatchError(ErrExhausted))
		small := c.arrive("small")
		Expect(small.Take(c.now, smallRequestBytes)).To(Succeed())
		Expect(small.Take(c.now, 1)).To(MatchError(ErrExhausted), "a request that has grown is no small one")
		Expect(c.ended).To(BeEmpty())
	})
	It("refuses small requests too when all of it is held", func() {
		c := newCrowd(testBudget)
		c.hold()
		for range c.reserve / smallRequestBytes {
			Expect(c.arrive("small").Take(c.now, smallRequestBytes)).To(Succeed())
		}
		Expect(c.arrive("late").Take(c.now, 1)).To(MatchError(ErrExhausted))
		Expect(c.Used()).To(Equal(c.total))
	})
	It("ends the request that has been arriving for longest, after a second, when another needs its bytes", func() {
		c := newCrowd(testBudget)
		first := c.arrive("first")
		Expect(first.Take(c.now, 24*smallRequestBytes)).To(Succeed())
		c.now = c.now.Add(time.Millisecond)
		Expect(c.arrive("second").Take(c.now, 24*smallRequestBytes)).To(Succeed())
		c.now = c.now.Add(minReadingTime - time.Millisecond)
		Expect(c.arrive("third").Take(c.now, 24*smallRequestBytes)).To(Succeed())
		Expect(c.ended).To(Equal([]string{"first"}))
		Expect(first.Take(c.now, 1)).To(MatchError(ErrEnded))
		Expect(c.arrive("fourth").Take(c.now, 24*smallRequestBytes)).To(MatchError(ErrExhausted), "the second has arrived for less than a second")
	})
	It("doesn't end a request that has arrived and waits for its answer", func() {
		c := newCrowd(testBudget)
		Expect(c.hold().Received()).To(Succeed())
		c.now = c.now.Add(time.Hour)
		Expect(c.arrive("other").Take(c.now, 2*smallRequestBytes)).To(MatchError(ErrExhausted))
		Expect(c.ended).To(BeEmpty())
	})
	It("doesn't end a request to grant it more", func() {
		c := newCrowd(testBudget)
		answered := c.arrive("answered")
		Expect(answered.Take(c.now, 1)).To(Succeed())
		Expect(answered.Received()).To(Succeed())
		growing := c.arrive("growing")
		Expect(growing.Take(c.now, c.total-c.reserve-1)).To(Succeed())
		c.now = c.now.Add(time.Hour)
		Expect(growing.Take(c.now, 1)).To(MatchError(ErrExhausted))
		Expect(c.ended).To(BeEmpty())
	})
	It("grants the only request more than its total, and nothing beside it", func() {
		c := newCrowd(testBudget)
		only := c.arrive("only")
		Expect(only.Take(c.now, 4*c.total)).To(Succeed())
		Expect(only.Take(c.now, 1)).To(MatchError(ErrExhausted))
		Expect(c.arrive("other").Take(c.now, 1)).To(MatchError(ErrExhausted))
		only.Release()
		Expect(c.arrive("next").Take(c.now, 1)).To(Succeed())
	})
	It("serves an ordinary request after a crowd has taken everything and stalls", func() {
		c := newCrowd(testBudget)
		for range 1000 {
			_ = c.arrive("crowd").Take(c.now, smallRequestBytes)
		}
		Expect(c.arrive("at once").Take(c.now, smallRequestBytes)).To(MatchError(ErrExhausted))
		c.now = c.now.Add(minReadingTime)
		Expect(c.arrive("later").Take(c.now, smallRequestBytes)).To(Succeed())
		Expect(c.ended).To(HaveLen(1))
	})
	It("gets everything back once all requests are answered, whether ended or not", func() {
		c := newCrowd(testBudget)
		first := c.hold()
		c.now = c.now.Add(minReadingTime)
		second := c.hold()
		Expect(c.ended).To(Equal([]string{"large"}))
		second.Give(smallRequestBytes)
		first.Release()
		second.Release()
		Expect(c.Used()).To(BeZero())
		Expect(c.reading.Len()).To(BeZero())
		Expect(first.Take(c.now, 1)).To(Succeed(), "a released lease serves the next request")
	})
	It("ends nothing if that isn't enough", func() {
		c := newCrowd(testBudget)
		answered := c.hold()
		Expect(answered.Received()).To(Succeed())
		answered.Give(10 * smallRequestBytes)
		Expect(c.arrive("arriving").Take(c.now, 5*smallRequestBytes)).To(Succeed())
		c.now = c.now.Add(minReadingTime)
		Expect(c.arrive("large").Take(c.now, 11*smallRequestBytes)).To(MatchError(ErrExhausted))
		Expect(c.ended).To(BeEmpty())
		Expect(c.arrive("less").Take(c.now, 9*smallRequestBytes)).To(Succeed())
		Expect(c.ended).To(Equal([]string{"arriving"}))
	})
	It("ends only as many as needed", func() {
		c := newCrowd(testBudget)
		for _, size := range []Bytes{2, 3, 20, 23} {
			Expect(c.arrive(fmt.Sprint(size)).Take(c.now, size*smallRequestBytes)).To(Succeed())
		}
		c.now = c.now.Add(minReadingTime)
		Expect(c.arrive("large").Take(c.now, 20*smallRequestBytes)).To(Succeed())
		Expect(c.ended).To(Equal([]string{"20"}))
	})
	It("ends no small request within the reserve for a large one", func() {
		c := newCrowd(testBudget)
		for range c.reserve / smallRequestBytes {
			Expect(c.arrive("small").Take(c.now, smallRequestBytes)).To(Succeed())
		}
		Expect(c.arrive("first").Take(c.now, c.total-2*c.reserve)).To(Succeed())
		c.now = c.now.Add(minReadingTime)
		Expect(c.arrive("too large").Take(c.now, c.total-c.reserve)).To(MatchError(ErrExhausted))
		Expect(c.ended).To(BeEmpty())
		Expect(c.arrive("second").Take(c.now, c.total-2*c.reserve)).To(Succeed())
		Expect(c.ended).To(Equal([]string{"first"}))
	})
	It("tells a request that was ended at the moment in which it had arrived", func() {
		c := newCrowd(testBudget)
		first := c.hold()
		c.now = c.now.Add(minReadingTime)
		c.hold()
		Expect(first.Received()).To(MatchError(ErrEnded))
		first.Release()
		first.Reading(c.now)
		Expect(first.Received()).To(Succeed())
	})
	It("grants the only request what the largest one needs that is configured", func() {
		c := newCrowd(testBudget)
		c.LargestRequest = func() Bytes { return 50 * c.total }
		only := c.arrive("only")
		Expect(only.Take(c.now, 50*c.total)).To(Succeed())
		Expect(only.Take(c.now, 1)).To(MatchError(ErrExhausted))
		Expect(c.arrive("other").Take(c.now, 1)).To(MatchError(ErrExhausted))
	})
	It("never grants several requests more than its total", func() {
		c := newCrowd(testBudget)
		leases := []*Lease{c.arrive("first")}
		Expect(leases[0].Take(c.now, 1)).To(Succeed())
		Expect(leases[0].Received()).To(Succeed())
		for i := range 2000 {
			l := c.arrive("x")
			leases = append(leases, l)
			_ = l.Take(c.now, Bytes(i%40)*1000)
			if i%7 == 0 && i > 2 {
				leases[i/2].Release()
			}
			c.now = c.now.Add(10 * time.Millisecond)
			Expect(c.Used()).To(And(BeNumerically(">=", 0), BeNumerically("<=", c.total)))
		}
	})
	It("grants everything if there is none", func() {
		var none *Budget
		l := none.NewLease(func() {})
		l.Reading(time.Time{})
		Expect(l.Take(time.Time{}, 1<<40)).To(Succeed())
		Expect(l.Received()).To(Succeed())
		l.Give(1)
		l.Release()
	})
})

var _ = Describe("The connection to close when a port is full", func() {
	now := time.Unix(1000, 0)
	ago := func(p phase, d time.Duration) activity { return activity{p, now.Add(-d)} }

	DescribeTable("is", func(expected int, all ...activity) {
		Expect(selectConnection(now, all)).To(Equal(expected))
	},
		Entry("none without connections", -1),
		Entry("the one that is idle for longest", 1, ago(phaseIdle, time.Second), ago(phaseIdle, time.Minute), ago(phaseIdle, 2*time.Second)),
		Entry("an idle one rather than one that sends slowly", 1, ago(phaseBody, time.Minute), ago(phaseIdle, 0), ago(phaseHeader, time.Minute)),
		Entry("the one that stalls for longest if none is idle", 2, ago(phaseHeader, 2*time.Second), ago(phaseWriting, 3*time.Second), ago(phaseBody, 4*time.Second)),
		Entry("none that began to send or to be answered less than a second ago", -1, ago(phaseHeader, minPhaseTime-1), ago(phaseBody, 0), ago(phaseWriting, 0)),
		Entry("none whose request is handled", -1, ago(phaseHandling, time.Hour)),
	)
})

var _ = Describe("Limits", func() {
	It("leave most descriptors for connections to others, on a small machine", func() {
		l := NewLimits(Machine{Memory: 184 << 20, Descriptors: 4100})
		Expect(l.CallerConnections).To(Equal(975))
		Expect(l.InternalConnections).To(Equal(64))
		Expect(l.PeerConnections).To(Equal(736))
		Expect(l.Requests).To(Equal(Bytes(23 << 20)))
	})
	It("follow the memory where it binds", func() {
		Expect(NewLimits(Machine{Memory: 64 << 20, Descriptors: 4100}).CallerConnections).To(Equal(341))
	})
	It("give two connections to each of 300 instances where the machine allows it, within a third of the descriptors", func() {
		Expect(NewLimits(Machine{Memory: 184 << 20, Descriptors: 4100}).PeerConnections).To(BeNumerically(">=", 600))
		Expect(NewLimits(Machine{Memory: 1 << 40, Descriptors: 1 << 20}).PeerConnections).To(Equal(1024))
		Expect(NewLimits(Machine{Memory: 1 << 40, Descriptors: 500}).PeerConnections).To(Equal(100))
		Expect(NewLimits(Machine{Memory: 64 << 20, Descriptors: 1 << 20}).PeerConnections).To(Equal(256))
	})
	It("take a body of 256 KiB that is decoded beside small requests, on any machine", func() {
		b := NewBudget(NewLimits(Machine{}).Requests)
		now := time.Now()
		for range b.reserve / smallRequestBytes {
			Expect(b.NewLease(func() {}).Take(now, smallRequestBytes)).To(Succeed())
		}
		Expect(b.NewLease(func() {}).Take(now, 9*262144)).To(Succeed())
	})
	It("allow some requests on a machine that tells too little", func() {
		l := NewLimits(Machine{})
		Expect(l).To(Equal(Limits{Requests: minBudget, Messages: minBudget, Internal: minInternalBudget, CallerConnections: minCallerConnections, InternalConnections: minInternalConnections, PeerConnections: minPeerConnections}))
	})
	It("take a body of the largest size that the platform configures on the smallest machine", func() {
		const largestBody = 262144
		b := NewBudget(NewLimits(Machine{Memory: 64 << 20}).Requests)
		l := b.NewLease(func() {})
		now := time.Now()
		Expect(l.Take(now, largestBody)).To(Succeed())
		Expect(l.Take(now, largestBody/2)).To(Succeed())
		Expect(l.Take(now, 8*largestBody)).To(Succeed())
	})
})
