package job_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// unansweredStore answers no transaction.
type unansweredStore struct{ *table.Memory }

func (unansweredStore) Commit(context.Context, table.Transaction) (table.Result, error) {
	return table.Result{}, table.ErrOutcomeUnknown
}

func (unansweredStore) Outcome(context.Context, table.TransactionID) (table.Result, bool, error) {
	return table.Result{}, false, table.ErrUnavailable
}

// Guards against cancellations of unknown jobs that fill the table, and against a tombstone that is reported
// and isn't stored, or that outlives its time.
var _ = Describe("The tombstone of a job", func() {
	const crowd = 400
	var (
		store *table.Memory
		clock *clockwork.FakeClock
		r     job.Repository
		ctx   context.Context
	)

	rows := func() int {
		GinkgoHelper()
		all, err := store.Scan(ctx, "", "", table.MaxRows)
		Expect(err).NotTo(HaveOccurred())
		return len(all)
	}
	submit := func(key job.CallerKey) error {
		_, _, err := r.Submit(ctx, recordOf(key), testShard)
		return err
	}
	cancelUnknown := func(key job.CallerKey) {
		GinkgoHelper()
		Expect(r.Cancel(ctx, testTeam, key)).To(MatchError(job.ErrNotFound))
	}

	BeforeEach(func() {
		store, clock, ctx = &table.Memory{}, clockwork.NewFakeClockAt(time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC)), context.Background()
		r = job.Repository{Store: store, Clock: clock, Tombstones: job.NewTombstoneLimiter()}
	})

	It("refuses submissions until its retention is over", func() {
		cancelUnknown(testKey)
		clock.Advance(job.TombstoneRetention)
		Expect(submit(testKey)).To(MatchError(job.ErrCancelledBefore))
		clock.Advance(time.Second)
		Expect(submit(testKey)).To(Succeed())
		Expect(r.Cancel(ctx, testTeam, testKey)).To(Succeed())
	})

	It("is renewed by a cancellation after its retention", func() {
		cancelUnknown(testKey)
		cancelUnknown(testKey)
		before := rows()
		clock.Advance(job.TombstoneRetention + time.Second)
		cancelUnknown(testKey)
		Expect(rows()).To(Equal(before))
		Expect(submit(testKey)).To(MatchError(job.ErrCancelledBefore))
	})

	It("is stored at a limited rate, and deleted after its retention as others are stored", func() {
		refused := 0
		for round := range 3 {
			for i := range crowd {
				err := r.Cancel(ctx, testTeam, job.CallerKey(fmt.Sprintf("%d-%d", round, i)))
				Expect(err).To(Or(MatchError(job.ErrNotFound), MatchError(job.ErrTooManyUnknown)))
				if errors.Is(err, job.ErrTooManyUnknown) {
					refused++
				}
			}
			clock.Advance(job.TombstoneRetention + time.Second)
		}
		Expect(refused).To(BeNumerically(">", crowd))
		// Each has two rows.
		Expect(rows()).To(BeNumerically("<=", 2*crowd))
	})

	It("isn't reported without an answer of the table", func() {
		r.Store = unansweredStore{store}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(r.Cancel(short, testTeam, testKey)).To(MatchError(table.ErrOutcomeUnknown))
	})

	DescribeTable("is answered with its reason", func(err error, status int, reason string) {
		h := job.Handler{Counters: &counter.Set{}}
		answer := httptest.NewRecorder()
		job.WriteRepositoryError(&h, answer, err)
		Expect(answer.Code).To(Equal(status))
		Expect(answer.Body.String()).To(And(ContainSubstring(reason), ContainSubstring("NotRun")))
	},
		Entry("to a submission", job.ErrCancelledBefore, http.StatusConflict, "CancelledBefore"),
		Entry("to a cancellation beyond the limit", job.ErrTooManyUnknown, http.StatusServiceUnavailable, "TooManyUnknownCancels"),
	)
})
