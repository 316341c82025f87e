package shard

import (
	"slices"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/chart"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// reasonResultTooLarge fails a task whose result is over the manifest's MaxResult.
const reasonResultTooLarge = "ResultTooLarge"

// link is the owner's connection to a worker: what it knows and what it has yet
// to send.
type link struct {
	instance    membership.Instance
	basis       worker.Counter
	basisAt     time.Time
	incarnation string
	// bound is when nothing can run on the worker any more unless it is renewed.
	bound    time.Time
	lastSync time.Time
	// interval is the time between syncs without commands.
	interval time.Duration
	inFlight bool
	// lease is in LeaseEnded once the engine was told to forget the worker.
	lease    chart.LeaseState
	capacity resource.Vector
	// view is what the engine was last told about the worker.
	view placement.Worker
	// last is the worker's answer during recovery.
	last *worker.SyncResponse

	attempts    map[worker.TaskAttempt]chart.AttemptState
	start       []worker.StartTask
	stop        []worker.StopTask
	throttle    []worker.ThrottleTask
	acknowledge map[worker.TaskAttempt]struct{}
	// recording holds the finished attempts whose results are not yet in the table.
	recording map[worker.TaskAttempt]struct{}
}

func newLink(instance membership.Instance) *link {
	return &link{
		instance:    instance,
		interval:    SyncInterval,
		lease:       chart.Lease().Initial(),
		attempts:    map[worker.TaskAttempt]chart.AttemptState{},
		acknowledge: map[worker.TaskAttempt]struct{}{},
		recording:   map[worker.TaskAttempt]struct{}{},
	}
}

// moveLease changes the state of the lease as its chart says. An event that the
// chart refuses changes nothing.
func (l *link) moveLease(event chart.LeaseEvent) {
	if next, err := chart.Lease().Next(l.lease, event); err == nil {
		l.lease = next
	}
}

// isGone reports whether the engine was told to forget the worker.
func (l *link) isGone() bool {
	return l.lease == chart.LeaseEnded
}

// moveAttempt changes the state of an attempt as its chart says and forgets one
// that has ended. An event that the chart refuses changes nothing.
func (l *link) moveAttempt(attempt worker.TaskAttempt, event chart.AttemptEvent) {
	next, err := chart.Attempt().Next(l.attempts[attempt], event)
	switch {
	case err != nil:
	case chart.Attempt().Final(next):
		delete(l.attempts, attempt)
	default:
		l.attempts[attempt] = next
	}
}

// command queues what a decision asks of the worker.
func (l *link) command(s *Shard, d placement.Decision) {
	switch d.Kind {
	case placement.Start:
		l.attempts[d.TaskAttempt] = chart.Attempt().Initial()
		l.start = append(l.start, s.startTask(d))
	case placement.Evict:
		s.Counters.Add("Eviction."+string(d.Reason), 1)
		l.stop = append(l.stop, worker.StopTask{TaskAttempt: d.TaskAttempt, Mode: d.Mode})
	case placement.Stop:
		l.stop = append(l.stop, worker.StopTask{TaskAttempt: d.TaskAttempt, Mode: d.Mode})
	case placement.Throttle:
		s.Counters.Add("Throttle."+string(d.Reason), 1)
		l.throttle = append(l.throttle, worker.ThrottleTask{TaskAttempt: d.TaskAttempt, Share: d.Share})
	}
}

func (s *Shard) startTask(d placement.Decision) worker.StartTask {
	start := worker.StartTask{
		TaskAttempt: d.TaskAttempt,
		Class:       string(d.Class),
		Resources:   d.Resources,
	}
	start.Payload, start.PayloadKey = s.records.payload(d.Job)
	if d.Checkpointable {
		// A checkpoint may exist that this owner doesn't know of, written under an
		// earlier owner, so a task always resumes from its checkpoint's key.
		start.CheckpointTo = object.Key("checkpoint/" + string(d.Task))
		start.Checkpoint = start.CheckpointTo
	}
	return start
}

// hasCommands reports whether a sync is due at once. Acknowledgements wait for the next
// one: the worker keeps a finished task meanwhile, which takes none of its resources, and
// at the peak they would cause almost as many syncs as the starts.
func (l *link) hasCommands() bool {
	return len(l.start) > 0 || len(l.stop) > 0 || len(l.throttle) > 0
}

func (l *link) isDue(now time.Time) bool {
	if l.inFlight {
		return false
	}
	wait := l.interval
	if l.lease != chart.LeaseHeld && l.lastSync != (time.Time{}) {
		// A failed sync is repeated soon, but not at once, to leave room for the others.
		wait = minSyncInterval
	} else if l.hasCommands() {
		wait = 0
	}
	return !now.Before(l.lastSync.Add(wait))
}

// take moves the queued commands into a request.
func (l *link) take(s *Shard) worker.SyncRequest {
	request := worker.SyncRequest{Shard: s.ID, Epoch: s.Epoch, Basis: l.basis}
	if l.basis == 0 {
		return request
	}
	request.Incarnation = l.incarnation
	request.LeaseTerm = LeaseTerm
	request.Start = l.start
	request.Stop = l.stop
	request.Throttle = l.throttle
	for attempt := range l.acknowledge {
		request.Acknowledge = append(request.Acknowledge, attempt)
	}
	l.start, l.stop, l.throttle = nil, nil, nil
	for _, start := range request.Start {
		l.moveAttempt(start.TaskAttempt, chart.AttemptOnSend)
	}
	return request
}

// restore puts the commands of a request that the worker did not carry out back
// in front of the queue.
func (l *link) restore(request worker.SyncRequest) {
	l.start = append(request.Start, l.start...)
	l.stop = append(request.Stop, l.stop...)
	l.throttle = append(request.Throttle, l.throttle...)
	for _, start := range request.Start {
		l.moveAttempt(start.TaskAttempt, chart.AttemptOnSendBack)
	}
}

// dropStopped drops the starts that never left and are to be stopped. In one
// request the worker would refuse the stop and then start the task, which would run
// to its end, since stops come before starts.
func (s *Shard) dropStopped(now time.Time, l *link) {
	dropped := map[worker.TaskAttempt]bool{}
	l.stop = slices.DeleteFunc(l.stop, func(stop worker.StopTask) bool {
		if l.attempts[stop.TaskAttempt] == chart.AttemptQueued {
			dropped[stop.TaskAttempt] = true
		}
		return dropped[stop.TaskAttempt]
	})
	l.start = slices.DeleteFunc(l.start, func(start worker.StartTask) bool { return dropped[start.TaskAttempt] })
	for attempt := range dropped {
		l.moveAttempt(attempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: l.instance.ID, Outcome: placement.Evicted, Reason: "StoppedBeforeStart",
		})
	}
}

// takeAnswer takes in a worker's answer: it is the basis of the next sync and
// says what became of every attempt.
func (s *Shard) takeAnswer(l *link, result syncResult) {
	response := result.response
	wasGone := l.isGone()
	l.moveLease(chart.LeaseOnAnswer)
	l.basis, l.basisAt = response.Counter, result.at
	l.capacity = response.Capacity
	if wasGone {
		s.readmit(l, response, result.at)
	}
	if l.incarnation != "" && l.incarnation != response.Incarnation {
		s.Counters.Add("Worker.Restarted", 1)
		s.loseAttempts(l, result.at)
	}
	l.incarnation = response.Incarnation
	l.interval = s.syncInterval(response.Tasks)
	s.reconcile(l, result)
	for _, sample := range response.Usage {
		s.engine.Report(result.at, l.instance.ID, sample)
	}
}

// syncInterval returns the time between syncs with a worker that runs tasks. Short
// tasks are looked at more often, because a worker that has finished its tasks idles
// until the next sync.
func (s *Shard) syncInterval(tasks []worker.TaskStatus) time.Duration {
	interval := SyncInterval
	for _, status := range tasks {
		if expected, known := s.expected[manifest.ClassName(status.Class)]; known && !status.State.IsFinal() {
			interval = min(interval, expected/syncsPerTask)
		}
	}
	return max(interval, minSyncInterval)
}

// loseAttempts reports every attempt that a restarted worker process held as lost.
func (s *Shard) loseAttempts(l *link, now time.Time) {
	for attempt, state := range l.attempts {
		if state == chart.AttemptQueued {
			continue
		}
		l.moveAttempt(attempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: l.instance.ID, Outcome: placement.Lost, Reason: "WorkerRestarted",
		})
	}
}

// reconcile compares the attempts of the worker's answer with those that the
// owner gave it.
func (s *Shard) reconcile(l *link, result syncResult) {
	now := result.at
	refused := map[worker.TaskAttempt]string{}
	for _, refusal := range result.response.Refusals {
		refused[refusal.TaskAttempt] = refusal.Reason
	}
	listed := make(map[worker.TaskAttempt]struct{}, len(result.response.Tasks))
	for _, status := range result.response.Tasks {
		listed[status.TaskAttempt] = struct{}{}
		s.takeStatus(l, now, status)
	}
	for attempt, state := range l.attempts {
		if _, ok := listed[attempt]; ok || state == chart.AttemptQueued {
			continue
		}
		// The answer was given after every start that is in doubt, and the worker
		// refuses older requests from now on, so the attempt can't run any more.
		l.moveAttempt(attempt, chart.AttemptOnEnd)
		reason := refused[attempt]
		s.Counters.Add("Start.Refused."+reason, 1)
		outcome := placement.Refused
		if state == chart.AttemptRunning {
			outcome = placement.Lost
		}
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: l.instance.ID, Outcome: outcome, Reason: reason,
		})
	}
}

func (s *Shard) takeStatus(l *link, now time.Time, status worker.TaskStatus) {
	attempt := status.TaskAttempt
	if _, known := l.attempts[attempt]; !known {
		s.takeUnknown(l, status)
		return
	}
	if !status.State.IsFinal() {
		if l.attempts[attempt] != chart.AttemptRunning {
			l.moveAttempt(attempt, chart.AttemptOnConfirm)
			s.engine.TaskStarted(now, attempt)
		}
		return
	}
	s.finish(l, now, status)
}

// takeUnknown handles an attempt that the owner did not give to the worker in
// this term: the rest of a lease that has ended.
func (s *Shard) takeUnknown(l *link, status worker.TaskStatus) {
	if _, waits := l.recording[status.TaskAttempt]; waits {
		return
	}
	if status.State.IsFinal() {
		l.acknowledge[status.TaskAttempt] = struct{}{}
		return
	}
	s.Counters.Add("Worker.UnknownAttempt", 1)
	l.stop = append(l.stop, worker.StopTask{TaskAttempt: status.TaskAttempt, Mode: worker.StopKill})
}

// finish handles an attempt that has ended on its worker.
func (s *Shard) finish(l *link, now time.Time, status worker.TaskStatus) {
	l.moveAttempt(status.TaskAttempt, chart.AttemptOnEnd)
	end := placement.TaskEnd{
		TaskAttempt: status.TaskAttempt, Worker: l.instance.ID, Reason: status.Reason,
		Checkpoint: status.Checkpoint, Observed: status.Observed,
	}
	switch status.State {
	case worker.Succeeded:
		end.Outcome = placement.Succeeded
		if limit := s.Configuration.Current().Manifest.Limits.MaxResult; len(status.Result) > int(limit) {
			end.Outcome, end.Reason = placement.Failed, reasonResultTooLarge
			s.Counters.Add("Task.ResultTooLarge", 1)
			l.acknowledge[status.TaskAttempt] = struct{}{}
			break
		}
		s.recordResult(l, status)
	case worker.Failed:
		end.Outcome = placement.Failed
		s.Counters.Add("Task.Failed", 1)
		l.acknowledge[status.TaskAttempt] = struct{}{}
	default:
		end.Outcome = placement.Evicted
		l.acknowledge[status.TaskAttempt] = struct{}{}
	}
	s.engine.TaskEnded(now, end)
}

// recordResult keeps a result for the next commit. The worker keeps it as well
// until it is acknowledged, after the commit.
func (s *Shard) recordResult(l *link, status worker.TaskStatus) {
	id, index, err := job.SplitTaskID(status.Task)
	if err != nil {
		s.Counters.Add("Worker.MalformedTask", 1)
		return
	}
	recorded := s.records.finished(id, job.TaskResult{
		Index: index, Attempt: status.Attempt, Worker: l.instance.ID, Result: status.Result,
	})
	if recorded {
		l.recording[status.TaskAttempt] = struct{}{}
		return
	}
	s.Counters.Add("Task.ResultDropped", 1)
	l.acknowledge[status.TaskAttempt] = struct{}{}
}
