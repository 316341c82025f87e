package mechanism_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/mechanism"
)

func TestMechanism(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Mechanism")
}

var _ = Describe("Mechanisms", func() {
	It("have different names and each a load that it answers", func() {
		names := map[string]bool{}
		for _, m := range mechanism.All() {
			Expect(m.Info().Load).NotTo(BeEmpty(), m.String())
			names[m.String()] = true
		}
		Expect(names).To(HaveLen(len(mechanism.All())))
		Expect(names).NotTo(HaveKey(""))
	})

	It("are found by their names", func() {
		set, err := mechanism.Parse([]string{"Holds", "Scarcity"})
		Expect(err).NotTo(HaveOccurred())
		Expect(set).To(Equal(mechanism.Of(mechanism.Holds, mechanism.Scarcity)))
		Expect(set.Names()).To(ConsistOf("Holds", "Scarcity"))
		Expect(set.Has(mechanism.Preemption)).To(BeFalse())
	})

	It("reports all unknown names together with the known ones", func() {
		_, err := mechanism.Parse([]string{"Hold", "Scarcity", "leases"})
		Expect(err).To(MatchError(And(ContainSubstring(`"Hold", "leases"`), ContainSubstring("Preemption"))))
	})
})
