package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

func TestDispatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatcher")
}

// Guards against an owner that was cut off with its zone and replaced, and ran the
// tasks of all workers that it couldn't reach a second time (TWICE, deploy/days/zones).
var _ = Describe("Authority", func() {
	begin := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	others := []membership.InstanceID{"a", "b"}

	It("lasts for a term after a transaction", func() {
		a := authority{stored: at(0)}
		Expect(a.mayAct(at(1600), others)).To(BeTrue())
		Expect(a.mayAct(at(1601), others)).To(BeFalse())
		Expect(a.mayAct(at(1601), nil)).To(BeFalse())
	})

	It("lasts through an outage while no other instance can claim the shard", func() {
		a := authority{stored: at(0)}
		for ms := 1000; ms < 9000; ms += 250 {
			a.confirm("a", at(ms))
			a.confirm("b", at(ms))
			Expect(a.mayAct(at(ms+200), others)).To(BeTrue())
		}
	})

	It("is gone after the machine was suspended", func() {
		s := suspension{}
		Expect(s.noticed(5 * time.Second)).To(BeFalse())
		Expect(s.noticed(5*time.Second + 20*time.Millisecond)).To(BeFalse())
		Expect(s.noticed(8 * time.Second)).To(BeTrue())
		Expect(s.noticed(8 * time.Second)).To(BeFalse())
	})

	It("ends when one instance is silent", func() {
		a := authority{stored: at(0)}
		a.confirm("b", at(1000))
		for ms := 1000; ms < 3000; ms += 250 {
			a.confirm("a", at(ms))
		}
		Expect(a.mayAct(at(2500), others)).To(BeTrue())
		Expect(a.mayAct(at(2700), others)).To(BeFalse())
	})
})
