package claim

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// store is a table in memory. Tests replace lost and down to inject faults.
type store struct {
	mutex     sync.Mutex
	rows      map[table.Key]bool
	committed map[table.TransactionID]bool
	commits   int
	// lost returns whether the commit took effect, and the error in place of an answer.
	lost func() (bool, error)
	// down is the error of Outcome.
	down error
}

func (s *store) Read(_ context.Context, keys ...table.Key) ([]table.Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []table.Row
	for _, key := range keys {
		r := table.Row{Key: key}
		if s.rows[key] {
			r.Version = 1
		}
		found = append(found, r)
	}
	return found, nil
}

func (s *store) Scan(_ context.Context, prefix, _ table.Key, limit int) ([]table.Row, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []table.Row
	for key := range s.rows {
		if strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, table.Row{Key: key, Version: 1})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (s *store) Commit(_ context.Context, tx table.Transaction) (table.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commits++
	lost, applied := error(nil), true
	if s.lost != nil {
		applied, lost = s.lost()
	}
	for _, condition := range tx.Conditions {
		if s.rows[condition.Key] {
			return table.Result{}, table.ErrConflict
		}
	}
	if applied {
		s.committed[tx.ID] = true
		for _, write := range tx.Writes {
			s.rows[write.Key] = !write.Delete
			if write.Delete {
				delete(s.rows, write.Key)
			}
		}
	}
	return table.Result{}, lost
}

func (s *store) Outcome(_ context.Context, id table.TransactionID) (table.Result, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return table.Result{}, s.committed[id], s.down
}

type counters struct{}

func (counters) Add(string, int64) {}

// bench runs Claims on a store in memory.
type bench struct {
	*Claims
	store *store
	clock *clockwork.FakeClock
	group sync.WaitGroup
}

func newBench() *bench {
	b := &bench{clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 23, 59, 0, 0, time.UTC))}
	b.store = &store{rows: map[table.Key]bool{}, committed: map[table.TransactionID]bool{}}
	b.Claims = New(Config{Store: b.store, Clock: b.clock, Counters: counters{}})
	ctx, cancel := context.WithCancel(context.Background())
	b.group.Go(func() { _ = b.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		b.group.Wait()
	})
	return b
}

// begin claims all keys at once and returns the answers in order.
func (b *bench) begin(keys ...string) []answer {
	GinkgoHelper()
	answers := make([]answer, len(keys))
	var claims sync.WaitGroup
	before := b.queued()
	for i, key := range keys {
		claims.Go(func() { answers[i].started, answers[i].err = b.Begin(context.Background(), "kasa-lend", key) })
	}
	Eventually(b.queued).Should(Equal(before + len(keys)))
	ended := make(chan struct{})
	b.group.Go(func() {
		claims.Wait()
		close(ended)
	})
	Eventually(func() bool {
		b.clock.Advance(Linger)
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond).Should(BeTrue())
	return answers
}

func (b *bench) queued() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.queue)
}

func expectFirst(answers []answer, first ...bool) {
	GinkgoHelper()
	for i, a := range answers {
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.started.First).To(Equal(first[i]), "claim %d", i)
	}
}

func expectRefusal(err error, reason service.Reason) {
	GinkgoHelper()
	var refusal *service.Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	Expect(refusal.Reason).To(Equal(reason))
	Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
}

var _ = Describe("Claims", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	It("writes many claims in one transaction, against overloading the table", func() {
		var keys []string
		for i := range MaxGroup {
			keys = append(keys, fmt.Sprint(i))
		}
		for _, a := range b.begin(keys...) {
			Expect(a.started.First).To(BeTrue())
		}
		Expect(b.store.commits).To(Equal(1))
	})

	It("claims the others of a group with a started key", func() {
		expectFirst(b.begin("old"), true)
		expectFirst(b.begin("a", "old", "b"), true, false, true)
		Expect(b.store.commits).To(Equal(3))
	})

	It("grants one of two equal keys in a group, against a request that runs twice", func() {
		answers := b.begin("same", "same")
		Expect(answers[0].started.First).NotTo(Equal(answers[1].started.First))
	})

	It("remembers a key over midnight and when the clocks of instances differ", func() {
		expectFirst(b.begin("k"), true)
		b.clock.Advance(23 * time.Hour)
		expectFirst(b.begin("k"), false)
		b.store.rows = map[table.Key]bool{row(b.clock.Now().Add(Window), "kasa-lend:ahead"): true}
		expectFirst(b.begin("ahead"), false)
	})

	It("takes a lost answer for a claim if the commit took effect", func() {
		b.store.lost = func() (bool, error) { return true, table.ErrOutcomeUnknown }
		expectFirst(b.begin("k"), true)
		Expect(b.store.commits).To(Equal(1))
	})

	It("refuses as not run if the lost commit did not take effect", func() {
		b.store.lost = func() (bool, error) { return false, table.ErrOutcomeUnknown }
		expectRefusal(b.begin("k")[0].err, ReasonNotWritten)
	})

	It("is uncertain if the outcome can't be found, against a refusal that is not true", func() {
		b.store.lost = func() (bool, error) { return true, table.ErrOutcomeUnknown }
		b.store.down = table.ErrUnavailable
		Expect(b.begin("k")[0].err).To(MatchError(ErrUncertain))
	})

	It("refuses with a time to retry when the store is down", func() {
		b.store.lost = func() (bool, error) { return false, table.ErrUnavailable }
		expectRefusal(b.begin("k")[0].err, ReasonStoreDown)
	})

	It("withdraws a claim that still waits, so that it is not written", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := b.Begin(ctx, "kasa-lend", "gone")
		expectRefusal(err, ReasonDeadline)
		expectFirst(b.begin("gone"), true)
	})

	It("gives up a claim that waits too long, but not one that may be written", func(ctx SpecContext) {
		idle := New(Config{Store: b.store, Clock: b.clock, Counters: counters{}})
		held, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		errs := map[string]chan error{"taken": make(chan error, 1), "waiting": make(chan error, 1)}
		for i, key := range []string{"taken", "waiting"} {
			b.group.Go(func() {
				_, err := idle.Begin(held, "kasa-lend", key)
				errs[key] <- err
			})
			Expect(b.clock.BlockUntilContext(ctx, i+1)).To(Succeed())
			if key == "taken" {
				Eventually(idle.take).Should(HaveLen(1))
			}
		}
		b.clock.Advance(QueueTimeout)
		var err error
		Eventually(errs["waiting"]).Should(Receive(&err))
		expectRefusal(err, ReasonStoreDown)
		Consistently(errs["taken"]).ShouldNot(Receive())
		cancel()
		Eventually(errs["taken"]).Should(Receive(MatchError(ErrUncertain)))
	})

	It("deletes only expired records", func() {
		expectFirst(b.begin("k"), true)
		for _, step := range []struct {
			days    int
			deleted int
		}{{0, 0}, {2, 0}, {1, 1}, {0, 0}} {
			b.clock.Advance(time.Duration(step.days) * Window)
			Expect(b.Sweep(context.Background())).To(Equal(step.deleted))
		}
	})

	It("bounds the queue", func() {
		b.mutex.Lock()
		b.queue = make([]*pending, MaxQueue)
		b.mutex.Unlock()
		_, err := b.Begin(context.Background(), "kasa-lend", "k")
		expectRefusal(err, ReasonQueueFull)
		b.mutex.Lock()
		b.queue = nil
		b.mutex.Unlock()
	})
})
