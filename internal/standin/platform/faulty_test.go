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

// increment adds 1 to a counter row, each attempt under its own transaction id.
func increment(ctx context.Context, store table.Store, name string) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		rows, err := store.Read(ctx, "counter")
		if err != nil {
			continue
		}
		value, _ := strconv.Atoi(string(rows[0].Value))
		tx := set(fmt.Sprint(name, "/", attempt), strconv.Itoa(value+1), rows[0].Version)
		_, err = table.CommitResolved(ctx, store, clockwork.NewRealClock(), tx)
		if err == nil || errors.Is(err, table.ErrOutcomeUnknown) {
			return err
		}
	}
	return ctx.Err()
}

func set(id, value string, version table.Version) table.Transaction {
	return table.Transaction{
		ID:         table.TransactionID(id),
		Conditions: []table.Condition{{Key: "counter", Version: version}},
		Writes:     []table.Write{{Key: "counter", Value: []byte(value)}},
	}
}

var _ = Describe("Commits through cut connections and lost answers", func() {
	// Guards against a commit that is reported as failed but took effect, or the reverse.
	It("take effect exactly as often as they are reported", func(ctx SpecContext) {
		const writers, increments = 4, 10
		p, err := proxy.New(address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		running, stop := context.WithTimeout(ctx, 30*time.Second)
		defer stop()
		var faults, writing errgroup.Group
		faults.Go(func() error { return disturb(running, p) })
		for writer := range writers {
			writing.Go(func() error {
				for i := range increments {
					if err := increment(running, table.Client{Address: p.Address()}, fmt.Sprint(writer, "/", i)); err != nil {
						return err
					}
				}
				return nil
			})
		}
		Expect(writing.Wait()).To(Succeed())
		stop()
		Expect(faults.Wait()).To(Succeed())
		Expect(server.Journal()).To(HaveLen(writers * increments))
	})
})

// disturb alternates faults until ctx ends.
func disturb(ctx context.Context, p *proxy.Proxy) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p.Cut()
		lossy := platform.ServiceFaults{LoseAcknowledgements: round%4 == 1, Outage: round%4 == 2}
		refused := proxy.Faults{Refuse: round%4 == 3}
		if err := errors.Join(server.SetFaults(platform.Faults{Table: lossy}), p.SetFaults(refused)); err != nil {
			return err
		}
	}
}
