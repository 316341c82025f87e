package progress_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/progress"
)

func TestProgress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Progress")
}

var _ = Describe("The context of a call that must make progress", func() {
	const (
		short = 30 * time.Millisecond
		long  = 10 * time.Second
	)

	deadline := func(ctx context.Context) time.Time {
		GinkgoHelper()
		at, ok := ctx.Deadline()
		Expect(ok).To(BeTrue())
		return at
	}

	It("ends with DeadlineExceeded without progress", func() {
		ctx, cancel := progress.WithTimeout(context.Background(), short)
		defer cancel()
		Eventually(ctx.Done(), 2*time.Second).Should(BeClosed())
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
		derived, cancelDerived := context.WithCancel(ctx)
		defer cancelDerived()
		Expect(context.Cause(derived)).To(MatchError(context.DeadlineExceeded))
	})

	It("has a later deadline after progress of a derived context", func() {
		ctx, cancel := progress.WithTimeout(context.Background(), long)
		defer cancel()
		derived, cancelDerived := context.WithCancel(ctx)
		defer cancelDerived()
		first := deadline(ctx)
		time.Sleep(time.Millisecond)
		progress.Made(derived)
		Expect(deadline(ctx)).To(BeTemporally(">", first))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	It("doesn't outlive its parent", func() {
		parent, cancelParent := context.WithTimeout(context.Background(), short)
		defer cancelParent()
		ctx, cancel := progress.WithTimeout(parent, long)
		defer cancel()
		Expect(deadline(ctx)).To(Equal(deadline(parent)))
		progress.Made(ctx)
		Eventually(ctx.Done(), 2*time.Second).Should(BeClosed())
		Expect(ctx.Err()).To(MatchError(context.DeadlineExceeded))
	})

	It("ends after 30 s even if it makes progress", func() {
		ctx, cancel := progress.WithTimeout(context.Background(), 30*time.Second-time.Millisecond)
		defer cancel()
		first := deadline(ctx)
		time.Sleep(10 * time.Millisecond)
		progress.Made(ctx)
		Expect(deadline(ctx)).To(BeTemporally("<=", first.Add(time.Millisecond)))
	})

	It("isn't revived by progress after its end", func() {
		ctx, cancel := progress.WithTimeout(context.Background(), long)
		cancel()
		progress.Made(ctx)
		Expect(ctx.Err()).To(MatchError(context.Canceled))
	})

	It("notifies of the progress, and passes it on to outer timeouts", func() {
		ctx, cancel := progress.WithTimeout(context.Background(), long)
		defer cancel()
		notified := 0
		notifying := progress.WithNotify(ctx, func() { notified++ })
		first := deadline(ctx)
		time.Sleep(time.Millisecond)
		progress.Made(notifying)
		Expect(notified).To(Equal(1))
		Expect(deadline(ctx)).To(BeTemporally(">", first))
		progress.Made(ctx)
		Expect(notified).To(Equal(1))
	})

	It("ignores progress of other contexts", func() {
		progress.Made(context.Background())
	})
})
