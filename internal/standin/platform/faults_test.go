package platform_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/platform"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// incrementCounter adds 1 to the counter row. It retries unless the outcome of a commit
// stays unknown; each attempt has its own transaction ID.
func incrementCounter(ctx context.Context, store table.Store, name string) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		rows, err := store.Read(ctx, "counter")
		if err != nil {
			continue
		}
		value, _ := strconv.Atoi(string(rows[0].Value))
		tx := setCounter(fmt.Sprint(name, "/", attempt), strconv.Itoa(value+1), rows[0].Version)
		_, err = table.CommitResolved(ctx, store, clockwork.NewRealClock(), tx)
		if err == nil || errors.Is(err, table.ErrOutcomeUnknown) {
			return err
		}
	}
	return ctx.Err()
}

func setCounter(id, value string, version table.Version) table.Transaction {
	return table.Transaction{
		ID:         table.TransactionID(id),
		Conditions: []table.Condition{{Key: "counter", Version: version}},
		Writes:     []table.Write{{Key: "counter", Value: []byte(value)}},
	}
}

var _ = Describe("Commits through closed connections and lost responses", func() {
	// Guards against a commit that is reported as failed but took effect, and against
	// one that is reported as committed but didn't.
	It("applies as many commits as it reports as committed", func(ctx SpecContext) {
		const writers, increments = 4, 10
		p, err := proxy.New(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		runCtx, stop := context.WithTimeout(ctx, 30*time.Second)
		defer stop()
		var faultInjector, writerGroup errgroup.Group
		faultInjector.Go(func() error { return alternateFaults(runCtx, p) })
		for writer := range writers {
			writerGroup.Go(func() error {
				for i := range increments {
					if err := incrementCounter(runCtx, table.Client{Address: p.Address()}, fmt.Sprint(writer, "/", i)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		Expect(writerGroup.Wait()).To(Succeed())
		stop()
		Expect(faultInjector.Wait()).To(Succeed())
		Expect(server.Journal()).To(HaveLen(writers * increments))
	})
})

// alternateFaults cuts connections and changes the faults every 10 ms until ctx ends.
func alternateFaults(ctx context.Context, p *proxy.Proxy) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.Cut()
		tableFaults := platform.ServiceFaults{LoseAcknowledgements: round%4 == 1, Outage: round%4 == 2}
		proxyFaults := proxy.Faults{Refuse: round%4 == 3}
		if err := errors.Join(server.SetFaults(platform.Faults{Table: tableFaults}), p.SetFaults(proxyFaults)); err != nil {
			return err
		}
	}
}
