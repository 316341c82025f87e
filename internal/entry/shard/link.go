package shard

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/placement"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// failuresUntilUnreachable is the number of syncs in a row that fail before a
// worker gets no new tasks.
const failuresUntilUnreachable = 2

// reasonResultTooLarge fails a task whose result is over the manifest's MaxResult.
const reasonResultTooLarge = "ResultTooLarge"

// attemptState is what the owner knows of an attempt that it gave to a worker.
type attemptState string

const (
	// unsent attempts wait for the next sync.
	unsent attemptState = "Unsent"
	// inDoubt attempts were sent; the worker may or may not have started them.
	inDoubt attemptState = "InDoubt"
	// confirmed attempts were in an answer of the worker.
	confirmed attemptState = "Confirmed"
)

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
	failures int
	inFlight bool
	// gone reports that the engine was told to forget the worker.
	gone     bool
	capacity resource.Vector
	// view is what the engine was last told about the worker.
	view placement.Worker
	// last is the worker's answer during recovery.
	last *worker.SyncResponse

	attempts    map[worker.TaskAttempt]attemptState
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
		attempts:    map[worker.TaskAttempt]attemptState{},
		acknowledge: map[worker.TaskAttempt]struct{}{},
		recording:   map[worker.TaskAttempt]struct{}{},
	}
}

// command queues what a decision asks of the worker.
func (l *link) command(s *Shard, d placement.Decision) {
	switch d.Kind {
	case placement.Start:
		l.attempts[d.TaskAttempt] = unsent
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
	wait := SyncInterval
	if l.failures > 0 {
		// A failed sync is repeated soon, but not at once, to leave room for the others.
		wait = SyncInterval / 4
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
		l.attempts[start.TaskAttempt] = inDoubt
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
		l.attempts[start.TaskAttempt] = unsent
	}
}

type syncResult struct {
	id       membership.InstanceID
	request  worker.SyncRequest
	response worker.SyncResponse
	err      error
	// unsent reports that the request never left, because a right had ended.
	unsent bool
	at     time.Time
}

// sendSyncs sends the syncs that are due, as many as fit.
func (s *Shard) sendSyncs(ctx context.Context, now time.Time) {
	for id, l := range s.links {
		if s.running >= maxSyncs {
			s.Counters.Add("Sync.Deferred", 1)
			return
		}
		if l.isDue(now) {
			s.sendSync(ctx, now, id, l)
		}
	}
}

func (s *Shard) sendSync(ctx context.Context, now time.Time, id membership.InstanceID, l *link) {
	request := l.take(s)
	l.inFlight = true
	l.lastSync = now
	if request.Basis != 0 {
		l.bound = leaseBound(l.basisAt)
	}
	s.running++
	basisAt, address := l.basisAt, l.instance.Address
	s.group.Go(func() error {
		s.synced <- s.sync(ctx, id, address, basisAt, request)
		return nil
	})
}

// sync checks the rights to act right before the request leaves, since the
// process may have been frozen since the decision.
func (s *Shard) sync(ctx context.Context, id membership.InstanceID, address string, basisAt time.Time, request worker.SyncRequest) syncResult {
	result := syncResult{id: id, request: request}
	now := s.Clock.Now()
	if _, ok := s.Ownership.Authority(now); !ok {
		result.unsent = true
		return result
	}
	if len(request.Start) > 0 {
		until, ok := s.Permit.StartsUntil(now)
		if !ok || !until.After(basisAt) {
			result.unsent = true
			return result
		}
		request.StartWithin = until.Sub(basisAt)
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	result.response, result.err = s.Workers.Sync(ctx, address, request)
	result.at = s.Clock.Now()
	return result
}

func (s *Shard) handleSync(result syncResult) error {
	s.running--
	l, known := s.links[result.id]
	if !known {
		return nil
	}
	l.inFlight = false
	switch {
	case result.unsent:
		s.Counters.Add("Sync.NoRight", 1)
		l.restore(result.request)
		return nil
	case errors.Is(result.err, worker.ErrStaleEpoch) && result.response.Epoch > s.Epoch:
		return ErrSuperseded
	case errors.Is(result.err, worker.ErrStaleBasis):
		s.Counters.Add("Sync.StaleBasis", 1)
		l.restore(result.request)
	case result.err != nil:
		s.syncFailed(l, result)
		return nil
	default:
		for _, attempt := range result.request.Acknowledge {
			delete(l.acknowledge, attempt)
		}
	}
	s.takeAnswer(l, result)
	return nil
}

// syncFailed handles a sync without an answer. Its starts stay in doubt; stops
// and throttles are sent again, since they may be repeated.
func (s *Shard) syncFailed(l *link, result syncResult) {
	s.Counters.Add("Sync.Failed", 1)
	l.failures++
	l.stop = append(result.request.Stop, l.stop...)
	l.throttle = append(result.request.Throttle, l.throttle...)
	if l.failures == failuresUntilUnreachable {
		s.Log.Warn().Str("Worker", string(result.id)).Err(result.err).Msg("worker is unreachable")
		s.returnUnsent(l)
	}
}

// returnUnsent gives the starts that never left back to the engine.
func (s *Shard) returnUnsent(l *link) {
	now := s.Clock.Now()
	for _, start := range l.start {
		delete(l.attempts, start.TaskAttempt)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: start.TaskAttempt, Worker: l.instance.ID,
			Outcome: placement.Refused, Reason: "WorkerUnreachable",
		})
	}
	l.start = nil
}

// takeAnswer takes in a worker's answer: it is the basis of the next sync and
// says what became of every attempt.
func (s *Shard) takeAnswer(l *link, result syncResult) {
	response := result.response
	l.failures = 0
	l.basis, l.basisAt = response.Counter, result.at
	l.capacity = response.Capacity
	if l.gone {
		s.readmit(l, response, result.at)
	}
	if l.incarnation != "" && l.incarnation != response.Incarnation {
		s.Counters.Add("Worker.Restarted", 1)
		s.loseAttempts(l, result.at)
	}
	l.incarnation = response.Incarnation
	s.reconcile(l, result)
	for _, sample := range response.Usage {
		s.engine.Report(result.at, l.instance.ID, sample)
	}
}

// loseAttempts reports every attempt that a restarted worker process held as lost.
func (s *Shard) loseAttempts(l *link, now time.Time) {
	for attempt, state := range l.attempts {
		if state == unsent {
			continue
		}
		delete(l.attempts, attempt)
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
		if _, ok := listed[attempt]; ok || state == unsent {
			continue
		}
		// The answer was given after every start that is in doubt, and the worker
		// refuses older requests from now on, so the attempt can't run any more.
		delete(l.attempts, attempt)
		reason := refused[attempt]
		s.Counters.Add("Start.Refused."+reason, 1)
		outcome := placement.Refused
		if state == confirmed {
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
		if l.attempts[attempt] != confirmed {
			l.attempts[attempt] = confirmed
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
	delete(l.attempts, status.TaskAttempt)
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
