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

// reasonResultTooLarge is the failure reason of a task whose result exceeds the
// manifest's MaxResult.
const reasonResultTooLarge = "ResultTooLarge"

// workerSession is the owner's view of a worker, with the commands to send to it.
type workerSession struct {
	instance membership.Instance
	// basis is the counter of the worker's latest response, which the next sync refers
	// to, or 0 if there is none. It was received at basisReceivedAt.
	basis           worker.Counter
	basisReceivedAt time.Time
	incarnation     string
	// leaseExpiry is the time after which no task can run on the worker unless the lease
	// is renewed.
	leaseExpiry time.Time
	lastSyncAt  time.Time
	// syncInterval is the time between syncs without commands.
	syncInterval time.Duration
	// inFlight reports whether a sync is in progress.
	inFlight bool
	// leaseState becomes LeaseEnded when the worker is removed from the engine.
	leaseState chart.LeaseState
	capacity   resource.Vector
	// engineWorker is the worker's state as last passed to the engine.
	engineWorker placement.Worker
	// recoveryResponse is the worker's latest response during recovery. It is nil before
	// the first response and after recovery.
	recoveryResponse *worker.SyncResponse

	// attempts holds the attempts assigned to the worker that have not ended.
	attempts                map[worker.TaskAttempt]chart.AttemptState
	pendingStarts           []worker.StartTask
	pendingStops            []worker.StopTask
	pendingThrottles        []worker.ThrottleTask
	pendingAcknowledgements map[worker.TaskAttempt]struct{}
	// uncommittedResults holds the attempts that succeeded but whose results are not yet
	// in the table.
	uncommittedResults map[worker.TaskAttempt]struct{}
}

func newWorkerSession(instance membership.Instance) *workerSession {
	return &workerSession{
		instance:                instance,
		syncInterval:            SyncInterval,
		leaseState:              chart.Lease().Initial(),
		attempts:                map[worker.TaskAttempt]chart.AttemptState{},
		pendingAcknowledgements: map[worker.TaskAttempt]struct{}{},
		uncommittedResults:      map[worker.TaskAttempt]struct{}{},
	}
}

// applyLeaseEvent applies the transition of the lease state chart for event. An event
// that has no transition in the current state is ignored.
func (ws *workerSession) applyLeaseEvent(event chart.LeaseEvent) {
	if next, err := chart.Lease().Next(ws.leaseState, event); err == nil {
		ws.leaseState = next
	}
}

// isExpired reports whether the lease has expired and the engine no longer has the worker.
func (ws *workerSession) isExpired() bool {
	return ws.leaseState == chart.LeaseEnded
}

// applyAttemptEvent applies the transition of the attempt state chart for event and
// removes an attempt that has ended. An event that has no transition in the current state
// is ignored.
func (ws *workerSession) applyAttemptEvent(attempt worker.TaskAttempt, event chart.AttemptEvent) {
	next, err := chart.Attempt().Next(ws.attempts[attempt], event)
	switch {
	case err != nil:
	case chart.Attempt().Final(next):
		delete(ws.attempts, attempt)
	default:
		ws.attempts[attempt] = next
	}
}

// queueCommand queues the command that carries out a decision.
func (ws *workerSession) queueCommand(s *Shard, d placement.Decision) {
	switch d.Kind {
	case placement.Start:
		ws.attempts[d.TaskAttempt] = chart.Attempt().Initial()
		ws.pendingStarts = append(ws.pendingStarts, s.newStartTask(d))
	case placement.Evict:
		s.Counters.Add("Eviction."+string(d.Reason), 1)
		ws.pendingStops = append(ws.pendingStops, worker.StopTask{TaskAttempt: d.TaskAttempt, Mode: d.Mode})
	case placement.Stop:
		ws.pendingStops = append(ws.pendingStops, worker.StopTask{TaskAttempt: d.TaskAttempt, Mode: d.Mode})
	case placement.Throttle:
		s.Counters.Add("Throttle."+string(d.Reason), 1)
		ws.pendingThrottles = append(ws.pendingThrottles, worker.ThrottleTask{TaskAttempt: d.TaskAttempt, Share: d.Share})
	}
}

func (s *Shard) newStartTask(d placement.Decision) worker.StartTask {
	start := worker.StartTask{
		TaskAttempt: d.TaskAttempt,
		Class:       string(d.Class),
		Resources:   d.Resources,
	}
	start.Payload, start.PayloadKey = s.records.payload(d.Job)
	if d.Checkpointable {
		// A checkpoint written under an earlier owner may exist that this owner doesn't
		// know of, so a task always resumes from its checkpoint key.
		start.CheckpointTo = object.Key("checkpoint/" + string(d.Task))
		start.Checkpoint = start.CheckpointTo
	}
	return start
}

// hasPendingCommands reports whether commands are queued, which makes a sync due
// immediately. Acknowledgements wait for the next sync. Until then the worker keeps the
// finished task, which uses none of its resources. At peak load, syncs just for
// acknowledgements would be almost as many as those for starts.
func (ws *workerSession) hasPendingCommands() bool {
	return len(ws.pendingStarts) > 0 || len(ws.pendingStops) > 0 || len(ws.pendingThrottles) > 0
}

func (ws *workerSession) isSyncDue(now time.Time) bool {
	if ws.inFlight {
		return false
	}
	wait := ws.syncInterval
	if ws.leaseState != chart.LeaseHeld && ws.lastSyncAt != (time.Time{}) {
		// Delays the retry of a failed sync, so that retries don't crowd out syncs with
		// other workers.
		wait = minSyncInterval
	} else if ws.hasPendingCommands() {
		wait = 0
	}
	return !now.Before(ws.lastSyncAt.Add(wait))
}

// takeRequest moves the queued commands into a sync request. Without a basis the request
// carries no commands and renews no lease.
func (ws *workerSession) takeRequest(s *Shard) worker.SyncRequest {
	request := worker.SyncRequest{Shard: s.ID, Epoch: s.Epoch, Basis: ws.basis}
	if ws.basis == 0 {
		return request
	}
	request.Incarnation = ws.incarnation
	request.LeaseTerm = LeaseTerm
	request.Start = ws.pendingStarts
	request.Stop = ws.pendingStops
	request.Throttle = ws.pendingThrottles
	for attempt := range ws.pendingAcknowledgements {
		request.Acknowledge = append(request.Acknowledge, attempt)
	}
	ws.pendingStarts, ws.pendingStops, ws.pendingThrottles = nil, nil, nil
	for _, start := range request.Start {
		ws.applyAttemptEvent(start.TaskAttempt, chart.AttemptOnSend)
	}
	return request
}

// requeueCommands puts the commands of a request that the worker did not carry out back
// at the front of the queue.
func (ws *workerSession) requeueCommands(request worker.SyncRequest) {
	ws.pendingStarts = append(request.Start, ws.pendingStarts...)
	ws.pendingStops = append(request.Stop, ws.pendingStops...)
	ws.pendingThrottles = append(request.Throttle, ws.pendingThrottles...)
	for _, start := range request.Start {
		ws.applyAttemptEvent(start.TaskAttempt, chart.AttemptOnSendBack)
	}
}

// dropStoppedStarts drops queued starts, with their stops, of tasks that are stopped
// before they were sent. A worker handles the stops of a request before its starts, so
// with both in one request it would refuse the stop, start the task and run it to its end.
func (s *Shard) dropStoppedStarts(now time.Time, session *workerSession) {
	dropped := map[worker.TaskAttempt]bool{}
	session.pendingStops = slices.DeleteFunc(session.pendingStops, func(stop worker.StopTask) bool {
		if session.attempts[stop.TaskAttempt] == chart.AttemptQueued {
			dropped[stop.TaskAttempt] = true
		}
		return dropped[stop.TaskAttempt]
	})
	session.pendingStarts = slices.DeleteFunc(session.pendingStarts, func(start worker.StartTask) bool { return dropped[start.TaskAttempt] })
	for attempt := range dropped {
		session.applyAttemptEvent(attempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: session.instance.ID, Outcome: placement.Evicted, Reason: "StoppedBeforeStart",
		})
	}
}

// handleResponse processes a worker's response, which is the basis of the next sync and
// lists the state of every attempt.
func (s *Shard) handleResponse(session *workerSession, result syncResult) {
	response := result.response
	wasExpired := session.isExpired()
	session.applyLeaseEvent(chart.LeaseOnAnswer)
	session.basis, session.basisReceivedAt = response.Counter, result.receivedAt
	session.capacity = response.Capacity
	if wasExpired {
		s.handleReturnedWorker(session, response, result.receivedAt)
	}
	if session.incarnation != "" && session.incarnation != response.Incarnation {
		s.Counters.Add("Worker.Restarted", 1)
		s.reportLostAttempts(session, result.receivedAt)
	}
	session.incarnation = response.Incarnation
	session.syncInterval = s.taskSyncInterval(response.Tasks)
	s.reconcileAttempts(session, result)
	for _, sample := range response.Usage {
		s.engine.RecordUsageSample(result.receivedAt, session.instance.ID, sample)
	}
}

// taskSyncInterval returns the time between syncs with a worker that runs the given tasks.
// It is shorter for short tasks, because a worker that has finished its tasks is idle
// until the next sync.
func (s *Shard) taskSyncInterval(tasks []worker.TaskStatus) time.Duration {
	interval := SyncInterval
	for _, status := range tasks {
		if expected, known := s.expectedDurations[manifest.ClassName(status.Class)]; known && !status.State.IsFinal() {
			interval = min(interval, expected/syncsPerTaskDuration)
		}
	}
	return max(interval, minSyncInterval)
}

// reportLostAttempts reports to the engine that the attempts sent to a worker process are
// lost because the process has restarted.
func (s *Shard) reportLostAttempts(session *workerSession, now time.Time) {
	for attempt, state := range session.attempts {
		if state == chart.AttemptQueued {
			continue
		}
		session.applyAttemptEvent(attempt, chart.AttemptOnEnd)
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: session.instance.ID, Outcome: placement.Lost, Reason: "WorkerRestarted",
		})
	}
}

// reconcileAttempts compares the attempts in the worker's response with those that the
// owner sent to it.
func (s *Shard) reconcileAttempts(session *workerSession, result syncResult) {
	now := result.receivedAt
	refused := map[worker.TaskAttempt]string{}
	for _, refusal := range result.response.Refusals {
		refused[refusal.TaskAttempt] = refusal.Reason
	}
	listed := make(map[worker.TaskAttempt]struct{}, len(result.response.Tasks))
	for _, status := range result.response.Tasks {
		listed[status.TaskAttempt] = struct{}{}
		s.handleTaskStatus(session, now, status)
	}
	for attempt, state := range session.attempts {
		if _, ok := listed[attempt]; ok || state == chart.AttemptQueued {
			continue
		}
		// The worker sent the response after every start that is in doubt, and refuses
		// older requests from now on, so the attempt can't run any more.
		session.applyAttemptEvent(attempt, chart.AttemptOnEnd)
		reason := refused[attempt]
		s.Counters.Add("Start.Refused."+reason, 1)
		outcome := placement.Refused
		if state == chart.AttemptRunning {
			outcome = placement.Lost
		}
		s.engine.TaskEnded(now, placement.TaskEnd{
			TaskAttempt: attempt, Worker: session.instance.ID, Outcome: outcome, Reason: reason,
		})
	}
}

func (s *Shard) handleTaskStatus(session *workerSession, now time.Time, status worker.TaskStatus) {
	attempt := status.TaskAttempt
	if _, known := session.attempts[attempt]; !known {
		s.handleUnknownAttempt(session, status)
		return
	}
	if !status.State.IsFinal() {
		if session.attempts[attempt] != chart.AttemptRunning {
			session.applyAttemptEvent(attempt, chart.AttemptOnConfirm)
			s.engine.TaskStarted(now, attempt)
		}
		return
	}
	s.handleEndedAttempt(session, now, status)
}

// handleUnknownAttempt handles an attempt that the owner did not send under the current
// lease, such as one left over from an expired lease.
func (s *Shard) handleUnknownAttempt(session *workerSession, status worker.TaskStatus) {
	if _, uncommitted := session.uncommittedResults[status.TaskAttempt]; uncommitted {
		return
	}
	if status.State.IsFinal() {
		session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
		return
	}
	s.Counters.Add("Worker.UnknownAttempt", 1)
	session.pendingStops = append(session.pendingStops, worker.StopTask{TaskAttempt: status.TaskAttempt, Mode: worker.StopKill})
}

// handleEndedAttempt handles an attempt that succeeded, failed or was stopped on its
// worker.
func (s *Shard) handleEndedAttempt(session *workerSession, now time.Time, status worker.TaskStatus) {
	session.applyAttemptEvent(status.TaskAttempt, chart.AttemptOnEnd)
	end := placement.TaskEnd{
		TaskAttempt: status.TaskAttempt, Worker: session.instance.ID, Reason: status.Reason,
		Checkpoint: status.Checkpoint, Observed: status.Observed,
	}
	switch status.State {
	case worker.Succeeded:
		end.Outcome = placement.Succeeded
		if limit := s.Configuration.Current().Manifest.Limits.MaxResult; len(status.Result) > int(limit) {
			end.Outcome, end.Reason = placement.Failed, reasonResultTooLarge
			s.Counters.Add("Task.ResultTooLarge", 1)
			session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
			break
		}
		s.recordResult(session, status)
	case worker.Failed:
		end.Outcome = placement.Failed
		s.Counters.Add("Task.Failed", 1)
		session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
	default:
		end.Outcome = placement.Evicted
		session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
	}
	s.engine.TaskEnded(now, end)
}

// recordResult queues a result for the next commit. The worker also keeps the result
// until it is acknowledged, which happens after the commit.
func (s *Shard) recordResult(session *workerSession, status worker.TaskStatus) {
	id, index, err := job.ParseTaskID(status.Task)
	if err != nil {
		s.Counters.Add("Worker.MalformedTask", 1)
		return
	}
	added := s.records.addResult(id, job.TaskResult{
		Index: index, Attempt: status.Attempt, Worker: session.instance.ID, Result: status.Result,
	})
	if added {
		session.uncommittedResults[status.TaskAttempt] = struct{}{}
		return
	}
	s.Counters.Add("Task.ResultDropped", 1)
	session.pendingAcknowledgements[status.TaskAttempt] = struct{}{}
}
