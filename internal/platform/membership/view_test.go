package membership_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

type fakeLister struct {
	next membership.Snapshot
	err  error
}

func (l *fakeLister) ListAfter(_ context.Context, revision uint64) (membership.Snapshot, bool, error) {
	if l.err == nil && revision == l.next.Revision {
		return membership.Snapshot{}, false, nil
	}
	return l.next, true, l.err
}

var _ = Describe("View", func() {
	var (
		lister *fakeLister
		clock  *clockwork.FakeClock
		view   *membership.View
	)

	BeforeEach(func() {
		lister = &fakeLister{next: membership.Snapshot{Revision: 5}}
		clock = clockwork.NewFakeClock()
		view = membership.NewView(lister, clock)
	})

	expectLatest := func(revision uint64, age time.Duration) {
		GinkgoHelper()
		snapshot, gotAge, ok := view.Latest()
		Expect(ok).To(BeTrue())
		Expect(snapshot.Revision).To(Equal(revision))
		Expect(gotAge).To(Equal(age))
	}

	It("reports that no list was read yet", func(ctx SpecContext) {
		lister.err = membership.ErrUnavailable
		_, err := view.Refresh(ctx)
		Expect(err).To(MatchError(membership.ErrUnavailable))
		_, _, ok := view.Latest()
		Expect(ok).To(BeFalse())
	})

	It("keeps the last list and its age while the service is unavailable", func(ctx SpecContext) {
		Expect(view.Refresh(ctx)).To(Equal(lister.next))
		lister.err = membership.ErrUnavailable
		clock.Advance(time.Minute)
		_, err := view.Refresh(ctx)
		Expect(err).To(HaveOccurred())
		expectLatest(5, time.Minute)
	})

	It("drops a list with a lower revision", func(ctx SpecContext) {
		Expect(view.Refresh(ctx)).To(Equal(lister.next))
		lister.next.Revision = 4
		clock.Advance(time.Second)
		Expect(view.Refresh(ctx)).To(HaveField("Revision", uint64(5)))
		expectLatest(5, time.Second)
		Expect(view.OutdatedCount()).To(Equal(uint64(1)))
	})
})
