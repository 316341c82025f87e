package dispatcher

import (
	"bytes"
	"context"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// fixedCatalog returns the same configuration for any rows.
type fixedCatalog struct {
	Catalog
	configuration queue.Configuration
}

func (c *fixedCatalog) Operator(map[table.Key]table.Row) (queue.Configuration, error) {
	return c.configuration, nil
}

// goroutineStacks returns the stacks of all goroutines.
func goroutineStacks() string {
	stacks := make([]byte, 1<<20)
	return string(stacks[:runtime.Stack(stacks, true)])
}

var _ = Describe("Node", func() {
	// Guards against an operator's action that leaves no trace: one zone taken out and another
	// brought back in one change.
	It("logs that another zone is out of service", func() {
		var log bytes.Buffer
		catalog := &fixedCatalog{configuration: queue.Configuration{Version: 1, ZonesOut: map[membership.Zone]bool{"a": true}}}
		n := New(Options{Catalog: catalog, Counters: &counter.Set{}, Clock: clockwork.NewFakeClock(), Log: zerolog.New(&log)})
		n.applyOperator(nil)
		log.Reset()
		n.applyOperator(nil)
		Expect(log.String()).To(BeEmpty())
		catalog.configuration.ZonesOut = map[membership.Zone]bool{"b": true}
		n.applyOperator(nil)
		Expect(log.String()).To(ContainSubstring(`"b":true`))
	})

	// Guards against an older configuration that an owner applies late, over a newer one, and keeps
	// until the next change.
	It("works with the newest configuration when one is put in force while a shard starts", func() {
		var log bytes.Buffer
		n := New(Options{Name: "n", Counters: &counter.Set{}, Clock: clockwork.NewFakeClock(), Log: zerolog.New(&log)})
		n.config.Store(&queue.Configuration{Version: 1})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o := newOwner(newShard(n, 0, 1), ownerRow{Epoch: 1}, 1, cancel)
		o.lock.Lock()
		var starting errgroup.Group
		starting.Go(func() error {
			o.start(ctx)
			return nil
		})
		Eventually(goroutineStacks, 2*time.Second).Should(ContainSubstring("(*owner).configure"))
		n.config.Store(&queue.Configuration{Version: 2})
		o.lock.Unlock()
		Expect(starting.Wait()).To(Succeed())
		Expect(log.String()).To(ContainSubstring(`"Event":"ShardConfigured","Shard":0,"Epoch":1,"Version":2`))
	})

	// Guards against a stop that waits for the retries of a notification, during which the
	// instance can't be replaced.
	It("ends a notification of the owner when it stops", func() {
		n := New(Options{Name: "n", Counters: &counter.Set{}, Clock: clockwork.NewFakeClock()})
		s := newShard(n, 0, 1)
		ctx, cancel := context.WithCancel(context.Background())
		group, ctx := errgroup.WithContext(ctx)
		n.group, n.groupContext = group, ctx
		s.notifyOwner(submittedMethod, submittedRequest{}, func(*owner) {})
		cancel()
		ended := make(chan error, 1)
		var waiting errgroup.Group
		waiting.Go(func() error {
			ended <- group.Wait()
			return nil
		})
		Eventually(ended, 2*time.Second).Should(Receive(BeNil()))
	})
})
