package table_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// watchCall has the time limits of a call of Watch: until its context ends, and for the wait.
type watchCall struct {
	timeout time.Duration
	wait    time.Duration
}

// scriptedWatcher answers calls with the functions for them.
type scriptedWatcher struct {
	snapshot func() ([]table.Row, table.Version, error)
	watch    func(ctx context.Context, wait time.Duration) ([]table.Change, table.Version, error)
}

func (w scriptedWatcher) Snapshot(context.Context, table.Key) ([]table.Row, table.Version, error) {
	return w.snapshot()
}

func (w scriptedWatcher) Watch(ctx context.Context, _ table.Key, _ table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	return w.watch(ctx, wait)
}

// copyingWatcher reads from a copy of an age.
type copyingWatcher struct {
	scriptedWatcher
	age time.Duration
}

func (w copyingWatcher) CopyAge() time.Duration { return w.age }

var _ = Describe("Mirror", func() {
	It("counts the age of the copy that it reads from", func(ctx context.Context) {
		clock := clockwork.NewFakeClock()
		watcher := copyingWatcher{age: time.Second}
		watcher.snapshot = func() ([]table.Row, table.Version, error) { return nil, 1, nil }
		mirror := &table.Mirror{Watcher: watcher, Clock: clock, OnChange: func(map[table.Key]table.Row) {}}
		Expect(mirror.Load(ctx)).To(Succeed())
		clock.Advance(time.Second)
		Expect(mirror.State().Age).To(Equal(2 * time.Second))
	})

	const (
		prefix      table.Key = "op//"
		minInterval           = time.Second
	)

	// start runs a mirror and returns the channel on which it reports its calls.
	start := func(clock *clockwork.FakeClock, watcher table.Watcher) <-chan table.MirrorCall {
		ctx, cancel := context.WithCancel(context.Background())
		calls := make(chan table.MirrorCall)
		mirror := &table.Mirror{
			Watcher: watcher, Prefix: prefix, Clock: clock, MinInterval: minInterval,
			OnChange: func(map[table.Key]table.Row) {},
			OnCall: func(c table.MirrorCall) {
				select {
				case calls <- c:
				case <-ctx.Done():
				}
			},
		}
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return mirror.Run(ctx) })
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(MatchError(context.Canceled))
		})
		return calls
	}

	// passPause ends the pause of the mirror before its next call.
	passPause := func(clock *clockwork.FakeClock) {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
		clock.Advance(minInterval)
	}

	expectCall := func(calls <-chan table.MirrorCall, want table.MirrorCall) {
		GinkgoHelper()
		Eventually(calls, 2*time.Second).Should(Receive(Equal(want)))
	}

	// Guards against an outage after which nobody can tell how old an instance's copy was.
	It("reports how long each call took and how old the copy was", func() {
		clock := clockwork.NewFakeClock()
		failing := true
		calls := start(clock, scriptedWatcher{
			snapshot: func() ([]table.Row, table.Version, error) {
				return []table.Row{{Key: prefix + "config", Version: 3}}, 5, nil
			},
			watch: func(context.Context, time.Duration) ([]table.Change, table.Version, error) {
				clock.Advance(300 * time.Millisecond)
				if failing {
					failing = false
					return nil, 0, table.ErrUnavailable
				}
				return []table.Change{{Row: table.Row{Key: prefix + "config", Version: 9}}}, 9, nil
			},
		})
		expectCall(calls, table.MirrorCall{Snapshot: true, Changes: 1, Version: 5})
		passPause(clock)
		expectCall(calls, table.MirrorCall{
			Version: 5, Took: 300 * time.Millisecond, Age: 1300 * time.Millisecond, Err: table.ErrUnavailable,
		})
		passPause(clock)
		expectCall(calls, table.MirrorCall{
			Changes: 1, Version: 9, Took: 300 * time.Millisecond, Age: 2600 * time.Millisecond, AfterFailure: true,
		})
	})

	// Guards against a copy that stays old until a watch ends that the service never answers.
	It("ends a watch without an answer early enough to repeat it within the bound", func() {
		clock := clockwork.NewFakeClock()
		watches := make(chan watchCall)
		calls := start(clock, scriptedWatcher{
			snapshot: func() ([]table.Row, table.Version, error) { return nil, 5, nil },
			watch: func(ctx context.Context, wait time.Duration) ([]table.Change, table.Version, error) {
				deadline, _ := ctx.Deadline()
				select {
				case watches <- watchCall{timeout: time.Until(deadline), wait: wait}:
				case <-ctx.Done():
				}
				return nil, 0, table.ErrUnavailable
			},
		})
		expectCall(calls, table.MirrorCall{Snapshot: true, Version: 5})
		passPause(clock)
		var first, second watchCall
		Eventually(watches, 2*time.Second).Should(Receive(&first))
		Expect(2 * first.timeout).To(And(BeNumerically(">", 0), BeNumerically("<=", table.DefaultChangeBound)))
		Expect(first.wait).To(And(BeNumerically(">", 0), BeNumerically("<", first.timeout)))
		expectCall(calls, table.MirrorCall{Version: 5, Age: minInterval, Err: table.ErrUnavailable})
		passPause(clock)
		Eventually(watches, 2*time.Second).Should(Receive(&second))
		Expect(second.wait).To(BeZero())
	})

	// Guards against a mirror that hangs while it passes on a change, and that no log line tells
	// from one whose service doesn't answer.
	It("reports that it is passing on a change, and for how long", func() {
		clock := clockwork.NewFakeClock()
		applying, applied := make(chan struct{}), make(chan struct{})
		mirror := &table.Mirror{
			Watcher: scriptedWatcher{snapshot: func() ([]table.Row, table.Version, error) { return nil, 5, nil }},
			Prefix:  prefix, Clock: clock,
			OnChange: func(map[table.Key]table.Row) {
				close(applying)
				<-applied
			},
		}
		var group errgroup.Group
		group.Go(func() error { return mirror.Load(context.Background()) })
		Eventually(applying, 2*time.Second).Should(BeClosed())
		clock.Advance(time.Second)
		Expect(mirror.State()).To(Equal(table.MirrorState{Phase: table.MirrorApplying, PhaseAge: time.Second}))
		close(applied)
		Expect(group.Wait()).To(Succeed())
		clock.Advance(time.Second)
		Expect(mirror.State().Age).To(Equal(time.Second))
	})
})
