package job_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

const (
	testTeam = "team"
	testKey  = job.CallerKey("k")
)

var testShard = worker.ShardID{Zone: "z"}

func recordOf(key job.CallerKey) job.Record {
	return job.Record{ID: job.NewID(testTeam, key), Team: testTeam, Key: key, Spec: job.Spec{Tasks: 1}, State: job.Queued}
}

// Guards against a job that runs after its cancellation was answered with "not found", because the
// cancellation overtook its submission.
var _ = Describe("A job that is cancelled before it is stored", func() {
	It("isn't stored by a submission that arrives later", func() {
		r := job.Repository{Store: &table.Memory{}, Clock: clockwork.NewFakeClockAt(time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC))}
		ctx := context.Background()
		Expect(r.Cancel(ctx, testTeam, testKey)).To(MatchError(job.ErrNotFound))
		_, _, err := r.Submit(ctx, recordOf(testKey), testShard)
		Expect(err).To(HaveOccurred())
		_, err = r.Find(ctx, testTeam, testKey)
		Expect(err).To(MatchError(job.ErrNotFound))
	})
})
