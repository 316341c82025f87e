package dispatcher

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
)

// Guards against a cancelled job that ran again (UNASKED, amagasa-kyushu, hunt-bd02-7):
// its submission had waited at the owner while its instance stored it, and was then
// written over the outcome.
var _ = Describe("takeSubmissions", func() {
	It("leaves out jobs that have become known, as stored", func() {
		o := &owner{engine: dispatch.New(dispatch.Options{Epoch: 1})}
		now := time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)
		o.engine.AddFinished(now, "known", dispatch.Cancelled)
		known := &submission{dispatch.Job{ID: "known"}, make(chan error, 1)}
		fresh := &submission{dispatch.Job{ID: "new"}, make(chan error, 1)}
		o.submissions = []*submission{known, fresh}
		Expect(o.takeSubmissions()).To(Equal([]*submission{fresh}))
		Expect(known.done).To(Receive(BeNil()))
		Expect(o.submissions).To(BeEmpty())
	})
})
