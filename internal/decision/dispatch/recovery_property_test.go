package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// claim makes a new owner take over the shard.
func (w *takeoverSimulation) claim() {
	w.claimAt = time.Time{}
	epoch, previous := dispatch.Epoch(1), w.owner()
	if previous != nil {
		epoch = previous.epoch.Next()
	}
	o := &simulatedOwner{epoch: epoch, storedAt: w.now, polling: map[membership.InstanceID]bool{}, engine: dispatch.New(dispatch.Options{
		Epoch: epoch, LeaseTerm: leaseTerm, MaxLease: maxLease, StopTimeout: stopTimeout,
	})}
	o.engine.SetQueues(map[dispatch.QueueName]dispatch.Queue{
		batchQueue: {Name: batchQueue, Service: "pool", SlackFactor: 2},
	})
	o.engine.AddPreviousWorkers(w.now, w.fleet)
	for _, j := range w.jobs {
		if w.outcomes[j.ID] {
			o.engine.AddFinished(w.now, j.ID, dispatch.Completed)
			continue
		}
		o.engine.AddJob(w.now, j, w.progress[j.ID], true)
	}
	if previous != nil {
		o.engine.Recover(w.now, authorityTerm-w.now.Sub(previous.storedAt))
		if w.recordEpoch.Precedes(epoch) {
			o.engine.AwaitStops(w.now, w.stopping)
			if w.record != nil && w.usesRecords() {
				o.engine.RecoverFrom(w.now, *w.record)
			}
		}
	}
	for _, x := range w.sortedWorkers() {
		if w.chance(0.15) {
			x.hiddenFrom, x.hiddenUntil = epoch, w.now.Add(time.Duration(w.random.IntN(8000))*time.Millisecond)
		}
	}
	w.owners = append(w.owners, o)
}

// advanceOwner makes an owner poll, decide and store.
func (w *takeoverSimulation) advanceOwner(o *simulatedOwner) {
	if o.dead {
		return
	}
	if o != w.owner() && !o.cut {
		// Its next transaction conflicts.
		if w.now.Sub(o.storedAt) > 400*time.Millisecond {
			o.dead = true
			return
		}
	}
	if o.cut && w.now.Sub(o.storedAt) > authorityTerm {
		o.engine.SetSuspended(w.now, true)
		o.dead = w.now.Sub(o.storedAt) > 2*authorityTerm
	}
	if w.random.IntN(6) == 0 {
		o.engine.SetWorkers(w.now, w.listedWorkers())
	}
	for _, id := range o.engine.Workers() {
		if !o.polling[id] {
			w.sendPoll(o, id)
		}
	}
	o.engine.Tick(w.now)
	for _, c := range o.engine.TakeCommands() {
		w.send(o, c)
	}
	if o == w.owner() && !o.cut && w.chance(0.15) {
		w.store(o)
	}
}

// store stores the changes of the owner.
func (w *takeoverSimulation) store(o *simulatedOwner) {
	batch := o.engine.TakeBatch(1)
	for _, u := range batch.Updates {
		w.progress[u.ID] = u.Progress
		w.outcomes[u.ID] = u.Outcome != ""
	}
	w.fleet = o.engine.UsedWorkers()
	o.storedAt = w.now
	o.engine.MarkStored(w.now, batch)
}

// listedWorkers returns the platform's list of workers. Entries of workers that are cut off expire.
func (w *takeoverSimulation) listedWorkers() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, x := range w.sortedWorkers() {
		if !x.gone && (!w.now.Before(x.cutUntil) || w.now.Sub(x.cutAt) < entryTerm) {
			list = append(list, x.info)
		}
	}
	return list
}

func (w *takeoverSimulation) sendPoll(o *simulatedOwner, id membership.InstanceID) {
	p, _ := o.engine.Poll(w.now, id)
	o.polling[id] = true
	answer := func(f func()) {
		w.after(w.delay(), func() {
			o.polling[id] = false
			if !o.dead {
				f()
			}
		})
	}
	w.after(w.delay(), func() {
		x := w.workers[id]
		if !w.reaches(o, x) {
			answer(func() { o.engine.PollFailed(w.now, id) })
			return
		}
		report, accepted := w.poll(x, p)
		if !accepted {
			o.dead = true
			return
		}
		if w.chance(0.01) {
			answer(func() { o.engine.PollFailed(w.now, id) })
			return
		}
		answer(func() { o.engine.Observe(w.now, id, report) })
	})
}

// send sends a command, which may be lost, executed late or lose its answer.
func (w *takeoverSimulation) send(o *simulatedOwner, c dispatch.Command) {
	x := w.workers[c.Worker]
	if x == nil {
		return
	}
	delay, late := w.delay(), false
	if c.Start != nil && w.chance(0.05) {
		delay, late = time.Duration(w.random.Int64N(int64(maxLateStart))), true
	}
	unanswered := func() {
		w.after(dispatch.MaxCommandTime, func() {
			if !o.dead {
				o.engine.StartAnswered(w.now, c.Worker, c.TaskRun, dispatch.StartUnanswered)
			}
		})
	}
	if late {
		unanswered()
	}
	w.after(delay, func() {
		if !w.reaches(o, x) && !late || x.gone {
			if c.Start != nil && !late {
				unanswered()
			}
			return
		}
		lost := late || w.chance(0.05)
		switch {
		case c.Start != nil:
			result := w.start(x, c)
			if lost && !late {
				unanswered()
			}
			if !lost {
				w.after(w.delay(), func() { o.engine.StartAnswered(w.now, c.Worker, c.TaskRun, result) })
			}
		case c.Stop && c.Fence >= x.highest:
			x.accepts(c.Fence, 0)
			x.blocked[c.Task] = max(x.blocked[c.Task], c.Run)
			if r := x.runs[c.Task]; r != nil && r.run == c.Run && r.stopAt.IsZero() {
				r.stopAt = w.now.Add(time.Duration(w.random.Int64N(int64(stopTimeout))))
			}
			if !lost {
				w.after(w.delay(), func() { o.engine.StopAccepted(w.now, c.Worker, c.TaskRun, c.Incarnation) })
			}
		}
	})
}

// replaceOwner ends the current owner in one of several ways.
func (w *takeoverSimulation) replaceOwner() {
	o := w.owner()
	if !w.claimAt.IsZero() || o.dead || o.cut {
		return
	}
	switch w.random.IntN(5) {
	case 0:
		o.dead = true
		w.claimAt = o.storedAt.Add(claimDelay)
	case 1:
		o.cut = true
		w.claimAt = o.storedAt.Add(claimDelay)
	default:
		w.release(o)
	}
}

// release stores the release of the shard. The answer may be lost, so that the owner doesn't end.
func (w *takeoverSimulation) release(o *simulatedOwner) {
	w.recordEpoch, w.record = o.epoch, nil
	w.stopping = o.engine.StoppingRuns(w.now, 100)
	record, complete := o.engine.Release(w.now)
	if complete && w.usesRecords() {
		w.record = &record
	}
	w.store(o)
	o.dead, o.cut = w.chance(0.7), true
	w.claimAt = w.now.Add(time.Duration(w.random.IntN(600)) * time.Millisecond)
}

// disturb applies one random event to a worker, the jobs or the owner.
func (w *takeoverSimulation) disturb(number int) {
	workers := w.sortedWorkers()
	x := workers[w.random.IntN(len(workers))]
	switch w.random.IntN(8) {
	case 0, 1:
		w.replaceOwner()
	case 2:
		x.cutAt, x.cutUntil = w.now, w.now.Add(time.Duration(w.random.IntN(9000))*time.Millisecond)
	case 3:
		if !x.info.Draining && len(workers) < 14 {
			x.info.Draining, x.info.Remaining = true, 3*time.Second
			w.after(3*time.Second, func() { x.gone = true; clear(x.runs) })
			w.addWorker(len(w.workers))
		}
	case 4:
		w.jobs = append(w.jobs, jobOf(dispatch.JobID(fmt.Sprintf("l%d", number)), w.now, lastingStep(1+w.random.IntN(2))))
	default:
		second := batchStep(1 + w.random.IntN(3))
		second.After = []int{0}
		w.jobs = append(w.jobs, jobOf(dispatch.JobID(fmt.Sprintf("j%d", number)), w.now, batchStep(1+w.random.IntN(4)), second))
	}
	if o := w.owner(); o != nil && !o.dead && !o.cut {
		for _, j := range w.jobs {
			if !o.engine.HasJob(j.ID) {
				o.engine.AddJob(w.now, j, dispatch.Progress{}, false)
			}
		}
	}
}

// TestRecoveryNeverStartsTwice simulates random takeovers, releases, drains, silent workers, late starts and
// lost answers. No task may start while a run of it is active, or after it has succeeded.
func TestRecoveryNeverStartsTwice(t *testing.T) {
	started := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newTakeoverSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "workers"))
		if rapid.Bool().Draw(t, "otherBuilds") {
			w.usesRecords = func() bool { return w.chance(0.7) }
		}
		w.claim()
		for i := range 1200 {
			if w.chance(0.15) {
				w.disturb(i)
			}
			w.step()
		}
		for _, f := range w.faults {
			t.Error(f)
		}
		started += w.started
	})
	if started == 0 {
		t.Error("nothing was started")
	}
	t.Logf("%d starts", started)
}
