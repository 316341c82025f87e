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

// memoryStore is an in-memory table. Tests set commitFault and outcomeErr to inject faults.
type memoryStore struct {
	mutex     sync.Mutex
	rows      map[table.Key]bool
	committed map[table.TransactionID]bool
	commits   int
	// commitFault returns whether a commit takes effect, and the error that Commit returns.
	commitFault func() (bool, error)
	// outcomeErr is the error that Outcome returns.
	outcomeErr error
}

func (s *memoryStore) Read(_ context.Context, keys ...table.Key) ([]table.Row, error) {
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

func (s *memoryStore) Scan(_ context.Context, prefix, _ table.Key, limit int) ([]table.Row, error) {
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

func (s *memoryStore) Commit(_ context.Context, tx table.Transaction) (table.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commits++
	err, applied := error(nil), true
	if s.commitFault != nil {
		applied, err = s.commitFault()
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
	return table.Result{}, err
}

func (s *memoryStore) Outcome(_ context.Context, id table.TransactionID) (table.Result, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return table.Result{}, s.committed[id], s.outcomeErr
}

type discardCounters struct{}

func (discardCounters) Add(string, int64) {}

// fixture runs Claims on a memoryStore until the test ends.
type fixture struct {
	*Claims
	store *memoryStore
	clock *clockwork.FakeClock
	// background waits for the goroutines of the fixture.
	background sync.WaitGroup
}

func newFixture() *fixture {
	f := &fixture{clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 23, 59, 0, 0, time.UTC))}
	f.store = &memoryStore{rows: map[table.Key]bool{}, committed: map[table.TransactionID]bool{}}
	f.Claims = New(Config{Store: f.store, Clock: f.clock, Counters: discardCounters{}})
	ctx, cancel := context.WithCancel(context.Background())
	f.background.Go(func() { _ = f.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		f.background.Wait()
	})
	return f
}

// beginAll claims all keys concurrently and returns the answers in the order of the keys.
func (f *fixture) beginAll(keys ...string) []answer {
	GinkgoHelper()
	answers := make([]answer, len(keys))
	var claims sync.WaitGroup
	before := f.queueLength()
	for i, key := range keys {
		claims.Go(func() { answers[i].result, answers[i].err = f.Claim(context.Background(), "kasa-lend", key) })
	}
	Eventually(f.queueLength).Should(Equal(before + len(keys)))
	ended := make(chan struct{})
	f.background.Go(func() {
		claims.Wait()
		close(ended)
	})
	Eventually(func() bool {
		f.clock.Advance(Linger)
		select {
		case <-ended:
			return true
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond).Should(BeTrue())
	return answers
}

func (f *fixture) queueLength() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.queue)
}

func expectFirst(answers []answer, first ...bool) {
	GinkgoHelper()
	for i, a := range answers {
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.result.Claimed).To(Equal(first[i]), "claim %d", i)
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
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("writes many claims in one transaction, so that bursts do not overload the table", func() {
		var keys []string
		for i := range MaxGroupSize {
			keys = append(keys, fmt.Sprint(i))
		}
		for _, a := range f.beginAll(keys...) {
			Expect(a.result.Claimed).To(BeTrue())
		}
		Expect(f.store.commits).To(Equal(1))
	})

	It("claims the other keys of a group that has an already claimed key", func() {
		expectFirst(f.beginAll("old"), true)
		expectFirst(f.beginAll("a", "old", "b"), true, false, true)
		Expect(f.store.commits).To(Equal(3))
	})

	It("grants only one of two concurrent claims of a key, so that no request runs twice", func() {
		answers := f.beginAll("same", "same")
		Expect(answers[0].result.Claimed).NotTo(Equal(answers[1].result.Claimed))
	})

	It("remembers a key across midnight and across instances with different clocks", func() {
		expectFirst(f.beginAll("k"), true)
		f.clock.Advance(23 * time.Hour)
		expectFirst(f.beginAll("k"), false)
		f.store.rows = map[table.Key]bool{rowKey(f.clock.Now().Add(Window), "kasa-lend:ahead"): true}
		expectFirst(f.beginAll("ahead"), false)
	})

	It("grants a claim whose commit took effect although its answer was lost", func() {
		f.store.commitFault = func() (bool, error) { return true, table.ErrOutcomeUnknown }
		expectFirst(f.beginAll("k"), true)
		Expect(f.store.commits).To(Equal(1))
	})

	It("refuses a claim whose commit lost its answer and did not take effect", func() {
		f.store.commitFault = func() (bool, error) { return false, table.ErrOutcomeUnknown }
		expectRefusal(f.beginAll("k")[0].err, ReasonNotWritten)
	})

	It("reports an uncertain claim, not a refusal, if the outcome of its commit can't be found", func() {
		f.store.commitFault = func() (bool, error) { return true, table.ErrOutcomeUnknown }
		f.store.outcomeErr = table.ErrUnavailable
		Expect(f.beginAll("k")[0].err).To(MatchError(ErrUncertain))
	})

	It("refuses claims with a retry delay while the store is unavailable", func() {
		f.store.commitFault = func() (bool, error) { return false, table.ErrUnavailable }
		expectRefusal(f.beginAll("k")[0].err, ReasonStoreDown)
	})

	It("removes a queued claim whose request ended, so that it is not written", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := f.Claim(ctx, "kasa-lend", "gone")
		expectRefusal(err, ReasonDeadline)
		expectFirst(f.beginAll("gone"), true)
	})

	It("refuses a claim that is queued too long, but not one that may be written", func(ctx SpecContext) {
		claims := New(Config{Store: f.store, Clock: f.clock, Counters: discardCounters{}})
		requestCtx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		errs := map[string]chan error{"taken": make(chan error, 1), "waiting": make(chan error, 1)}
		for i, key := range []string{"taken", "waiting"} {
			f.background.Go(func() {
				_, err := claims.Claim(requestCtx, "kasa-lend", key)
				errs[key] <- err
			})
			Expect(f.clock.BlockUntilContext(ctx, i+1)).To(Succeed())
			if key == "taken" {
				Eventually(claims.takeGroup).Should(HaveLen(1))
			}
		}
		f.clock.Advance(QueueTimeout)
		var err error
		Eventually(errs["waiting"]).Should(Receive(&err))
		expectRefusal(err, ReasonStoreDown)
		Consistently(errs["taken"]).ShouldNot(Receive())
		cancel()
		Eventually(errs["taken"]).Should(Receive(MatchError(ErrUncertain)))
	})

	It("Sweep deletes only expired start records", func() {
		expectFirst(f.beginAll("k"), true)
		for _, step := range []struct {
			days    int
			deleted int
		}{{0, 0}, {2, 0}, {1, 1}, {0, 0}} {
			f.clock.Advance(time.Duration(step.days) * Window)
			Expect(f.Sweep(context.Background())).To(Equal(step.deleted))
		}
	})

	It("refuses claims while the queue is full", func() {
		f.mutex.Lock()
		f.queue = make([]*pendingClaim, MaxQueueLength)
		f.mutex.Unlock()
		_, err := f.Claim(context.Background(), "kasa-lend", "k")
		expectRefusal(err, ReasonQueueFull)
		f.mutex.Lock()
		f.queue = nil
		f.mutex.Unlock()
	})
})
