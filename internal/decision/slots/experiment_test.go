package slots

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Experiment", func() {
	small := DefaultExperiment(1)
	small.Executors, small.Duration = 10, 20*time.Second

	result := func(c Case) Row {
		GinkgoHelper()
		small.Cases = []Case{c}
		rows := small.Run()
		Expect(rows[0].Way).To(Equal(Grants))
		return rows[0]
	}

	// Guards against granting a slot twice, also across a takeover.
	It("never uses more slots than an executor has", func() {
		for _, c := range DefaultExperiment(1).Cases {
			Expect(result(c).MostInUse).To(BeNumerically("<=", experimentSlots), c.Name)
		}
	})

	// Guards against demand grants that expire before the successor of a stopped owner
	// makes new ones.
	It("answers as many requests in time with a failed owner as without", func() {
		alive, ownerDied := result(Case{Name: "even"}), result(Case{Name: "owner dies", OwnerDies: true})
		Expect(ownerDied.InTime).To(BeNumerically(">", alive.InTime-0.01))
	})
})
