package configuration_test

import (
	"context"
	"errors"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/entry/configuration"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

func manifestWithShards(count int) manifest.Manifest {
	return manifest.Manifest{Limits: manifest.Limits{ShardsPerZone: count}}
}

// responseLosingStore commits transactions but loses the responses.
type responseLosingStore struct {
	*table.Memory
}

// Commit commits the transaction and returns ErrOutcomeUnknown.
func (s responseLosingStore) Commit(ctx context.Context, tx table.Transaction) (table.Result, error) {
	_, err := s.Memory.Commit(ctx, tx)
	return table.Result{}, errors.Join(table.ErrOutcomeUnknown, err)
}

var _ = Describe("Holder", func() {
	// Guards against a late read that puts an older version in force again.
	It("never replaces a manifest by one with a lower version", func() {
		var holder configuration.Holder
		updated := holder.Changed()
		Expect(holder.ApplyIfNewer(manifest.Published{Version: 3})).To(BeTrue())
		Expect(updated).To(BeClosed())
		Expect(holder.ApplyIfNewer(manifest.Published{Version: 2})).To(BeFalse())
		Expect(holder.ApplyIfNewer(manifest.Published{Version: 3})).To(BeFalse())
		Expect(holder.Current().Version).To(Equal(manifest.Version(3)))
	})
})

var _ = Describe("Repository", func() {
	var memory *table.Memory
	var repository configuration.Repository

	BeforeEach(func(ctx SpecContext) {
		memory = &table.Memory{}
		repository = configuration.Repository{Store: memory, Clock: clockwork.NewRealClock()}
		_, err := repository.Publish(ctx, manifestWithShards(2), 0, "first")
		Expect(err).NotTo(HaveOccurred())
	})

	expectHead := func(ctx context.Context, version manifest.Version, author string) {
		GinkgoHelper()
		head, _, err := repository.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(configuration.Head{Version: version, Author: author}))
	}

	It("names the newest version and its author in the error for an outdated base", func(ctx SpecContext) {
		_, err := repository.Publish(ctx, manifestWithShards(2), 0, "second")
		Expect(err).To(MatchError(configuration.ErrSuperseded))
		Expect(err).To(MatchError(ContainSubstring(`version 1 by "first"`)))
		expectHead(ctx, 1, "first")
	})

	It("publishes a manifest only once when the response of the table is lost", func(ctx SpecContext) {
		repository.Store = responseLosingStore{memory}
		published, err := repository.Publish(ctx, manifestWithShards(2), 1, "second")
		Expect(err).NotTo(HaveOccurred())
		Expect(published.Version).To(Equal(manifest.Version(2)))
		expectHead(ctx, 2, "second")
		Expect(repository.Load(ctx, 2)).To(Equal(published))
	})

	// Guards against a change that gives a worker two owners.
	It("rejects a change of the number of shards", func(ctx SpecContext) {
		_, err := repository.Publish(ctx, manifestWithShards(3), 1, "second")
		var findings manifest.Findings
		Expect(errors.As(err, &findings)).To(BeTrue())
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].String()).To(Equal("Limits.ShardsPerZone: 3 differs from 2 of version 1; " +
			"workers and jobs are assigned to shards by this number; keep 2"))
		expectHead(ctx, 1, "first")
	})
})
