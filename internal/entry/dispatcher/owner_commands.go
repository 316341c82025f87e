package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// pollTimeout limits a poll, in addition to the time that the worker may wait before
	// it answers.
	pollTimeout = 700 * time.Millisecond
	// pollInterval is the minimum time between two polls of a worker.
	pollInterval = 15 * time.Millisecond
	// unstoredPollInterval is used instead while the worker keeps reporting finished runs
	// that aren't stored yet.
	unstoredPollInterval = 40 * time.Millisecond
	// maxUnstoredIntervals is the number of these intervals after which such a worker is polled
	// although its ends aren't stored yet.
	maxUnstoredIntervals = 5
	// storeLostPollInterval is used instead of unstoredPollInterval while the store is
	// unavailable.
	storeLostPollInterval = 400 * time.Millisecond
	// silentPollInterval is the time between polls of a worker that doesn't answer.
	silentPollInterval = 200 * time.Millisecond
)

// runEngine runs the engine after each event, and at least every maxEngineInterval.
func (o *owner) runEngine(ctx context.Context) error {
	ticker := o.node.Clock.NewTicker(maxEngineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.engineDue:
		case <-ticker.Chan():
		}
		if o.releaseRequested.Load() {
			continue
		}
		o.checkSuspension(o.now())
		o.checkAuthority(o.now())
		o.lock.Lock()
		o.engine.Tick(o.now())
		commands := o.engine.TakeCommands()
		adviceRequests := o.engine.TakeAdviceRequests()
		transfers := o.engine.TakeTransfers()
		unstored := o.engine.HasUnstored()
		o.updateJobMemory()
		o.lock.Unlock()
		if unstored {
			o.requestWrite()
		}
		for _, r := range adviceRequests {
			o.group.Go(func() error { o.requestAdvice(ctx, r); return nil })
		}
		for _, t := range transfers {
			o.group.Go(func() error { o.deliverTransfer(t); return nil })
		}
		for _, c := range commands {
			o.group.Go(func() error { return o.sendCommand(ctx, c) })
		}
		o.node.sleep(ctx, engineBatchDelay)
	}
}

// adviceTimeout limits a request to the placement policy.
const adviceTimeout = 3 * time.Second

// requestAdvice asks the placement policy for advice and passes the answer to the
// engine.
func (o *owner) requestAdvice(ctx context.Context, r dispatch.AdviceRequest) {
	if o.node.Policy == nil {
		o.node.Counters.Add("Advice.NoPolicy", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	grants, validity, err := o.node.Policy.Advise(ctx, r)
	o.withEngine(func(now time.Time, e *dispatch.Engine) {
		if err != nil {
			e.AdviceFailed(r)
			return
		}
		e.AdviceReceived(now, r, grants, validity)
	})
}

// sendCommand sends a command to a worker and reports the result to the engine.
func (o *owner) sendCommand(ctx context.Context, c dispatch.Command) error {
	ctx, cancel := context.WithTimeout(ctx, dispatch.MaxCommandTime)
	defer cancel()
	switch {
	case c.Start != nil:
		result := o.startTask(ctx, c)
		o.withEngine(func(now time.Time, e *dispatch.Engine) { e.StartAnswered(now, c.Worker, c.TaskRun, result) })
		if result == dispatch.StartStaleEpoch {
			o.supersede("a worker has seen a higher epoch")
			return errSuperseded
		}
	case c.Stop:
		err := o.node.Workers.Stop(ctx, c)
		if err == nil {
			o.withEngine(func(now time.Time, e *dispatch.Engine) { e.StopAccepted(now, c.Worker, c.TaskRun, c.Incarnation) })
		}
		return o.checkStaleEpoch(err, "Stop", c.Worker, c.Fence)
	case c.Pace != nil:
		err := o.node.Workers.Pace(ctx, c)
		if err == nil {
			o.withEngine(func(now time.Time, e *dispatch.Engine) { e.PaceAccepted(now, c.Worker, c.TaskRun, *c.Pace) })
		}
		return o.checkStaleEpoch(err, "Pace", c.Worker, c.Fence)
	}
	return nil
}

// startTask sends a start command, and repeats it if no answer arrives. A worker
// executes each run once, however often it receives the command. After a repetition,
// only an acceptance shows the outcome of the earlier attempts, so any refusal counts
// as no answer.
func (o *owner) startTask(ctx context.Context, c dispatch.Command) dispatch.StartResult {
	for repeated := false; ; repeated = true {
		attemptCtx, cancel := context.WithTimeout(ctx, c.AnswerTimeout)
		result := o.node.Workers.Start(attemptCtx, c)
		cancel()
		if result == dispatch.StartStaleEpoch && !o.isCurrentFence(c.Worker, c.Fence) {
			// A later command of this owner has overtaken this one.
			result = dispatch.StartRestarted
		}
		switch {
		case result == dispatch.StartAccepted, result == dispatch.StartStaleEpoch, !repeated && result != dispatch.StartUnanswered:
			return result
		case result != dispatch.StartUnanswered, ctx.Err() != nil, !o.mayRepeatStart(c):
			return dispatch.StartUnanswered
		}
		o.node.Counters.Add("Start.Repeated", 1)
	}
}

// isCurrentFence reports whether commands to a worker still carry the fence.
func (o *owner) isCurrentFence(id membership.InstanceID, f dispatch.Fence) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.engine.IsCurrentFence(id, f)
}

// mayRepeatStart asks the engine whether an unanswered start command should be sent
// again.
func (o *owner) mayRepeatStart(c dispatch.Command) (repeat bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.engine.MayRetryStart(o.now(), c.Worker, c.TaskRun)
}

// checkStaleEpoch counts a failed command and ends the ownership if the worker has seen a higher fence
// than the owner's.
func (o *owner) checkStaleEpoch(err error, command string, id membership.InstanceID, f dispatch.Fence) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	o.node.Counters.Add("Command."+command+"Failed", 1)
	if errors.Is(err, ErrStaleEpoch) && o.isCurrentFence(id, f) {
		o.supersede("a worker has seen a higher epoch")
		return errSuperseded
	}
	return nil
}

// pollWorker polls a worker until the engine has removed it.
func (o *owner) pollWorker(id membership.InstanceID) error {
	for {
		o.lock.Lock()
		p, known := o.engine.Poll(o.now(), id)
		if !known {
			delete(o.polledWorkers, id)
		}
		o.lock.Unlock()
		if !known {
			return nil
		}
		interval, err := o.pollOnce(id, p)
		if err != nil {
			return err
		}
		if !o.awaitNextPoll(id, interval) {
			return nil
		}
	}
}

// awaitNextPoll waits until the next poll of a worker is due, and reports whether the owner is still
// running. While the ends that the worker has reported aren't stored, a poll would only return them
// again, and take the processor time that storing them needs.
func (o *owner) awaitNextPoll(id membership.InstanceID, interval time.Duration) bool {
	if !o.sleep(interval) {
		return false
	}
	if interval != unstoredPollInterval {
		return true
	}
	for range maxUnstoredIntervals - 1 {
		if !o.awaitsStoring(id) {
			return true
		}
		if !o.sleep(interval) {
			return false
		}
	}
	return true
}

// awaitsStoring reports whether ends that a worker has reported wait for updates to be stored.
func (o *owner) awaitsStoring(id membership.InstanceID) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.engine.AwaitsStoring(id)
}

// pollOnce polls a worker and returns the time until the next poll.
func (o *owner) pollOnce(id membership.InstanceID, p dispatch.Poll) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(o.ctx, p.Wait+pollTimeout)
	defer cancel()
	report, err := o.node.Workers.Poll(ctx, id, p)
	if o.ctx.Err() != nil {
		return 0, nil
	}
	if err != nil {
		if staleEpoch := o.checkStaleEpoch(err, "Poll", id, p.Fence); staleEpoch != nil {
			return 0, staleEpoch
		}
		o.withEngine(func(now time.Time, e *dispatch.Engine) {
			if errors.Is(err, ErrWorkerReplaced) {
				e.WorkerReplaced(now, id, p.Address)
				return
			}
			e.PollFailed(now, id)
		})
		return silentPollInterval, nil
	}
	if !o.loadReported(report) {
		return pollInterval, nil
	}
	interval := pollInterval
	o.withEngine(func(now time.Time, e *dispatch.Engine) {
		e.Observe(now, id, report)
		if e.HasUnstoredEnds(id) {
			interval = unstoredPollInterval
		}
	})
	if outage, _ := o.node.store.lostFor(); outage > 0 && interval == unstoredPollInterval {
		interval = storeLostPollInterval
	}
	return interval, nil
}

// sleep waits and reports whether the owner is still running.
func (o *owner) sleep(d time.Duration) bool {
	return o.node.sleep(o.ctx, d)
}
