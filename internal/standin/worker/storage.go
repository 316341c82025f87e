package worker

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
)

// loadTask loads the payload of a task and the checkpoint that it resumes from, and
// reads the object store if the start command refers to it.
func (w *Worker) loadTask(now time.Time, t *task) {
	if t.start.PayloadKey == "" && t.start.Checkpoint == "" {
		w.finishLoad(now, t, t.start.Payload, Checkpoint{}, nil)
		return
	}
	w.storeCalls.Go(func() {
		payload, checkpoint, err := w.readInputs(t.start)
		w.mu.Lock()
		defer w.mu.Unlock()
		now := w.clock().Now()
		w.advance(now)
		w.finishLoad(now, t, payload, checkpoint, err)
	})
}

// readInputs returns the payload and the checkpoint of a start command. It doesn't
// retry: a task whose inputs can't be read is stopped and returned to the owner, which
// has the retry budget.
func (w *Worker) readInputs(start protocol.StartTask) (payload []byte, checkpoint Checkpoint, err error) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), w.clock(), w.stopTime())
	defer cancel()
	payload = start.Payload
	if start.PayloadKey != "" {
		payload, err = w.store().Get(ctx, start.PayloadKey)
		if err != nil {
			return nil, Checkpoint{}, err
		}
	}
	if start.Checkpoint == "" {
		return payload, Checkpoint{}, nil
	}
	encoded, err := w.store().Get(ctx, start.Checkpoint)
	if errors.Is(err, object.ErrNotFound) {
		// No earlier attempt wrote a checkpoint.
		return payload, Checkpoint{}, nil
	}
	if err != nil {
		return nil, Checkpoint{}, err
	}
	return payload, checkpoint, json.Unmarshal(encoded, &checkpoint)
}

func (w *Worker) finishLoad(now time.Time, t *task, encoded []byte, checkpoint Checkpoint, err error) {
	if t.state != protocol.Running {
		return
	}
	var payload Payload
	if err == nil && len(encoded) > 0 {
		err = json.Unmarshal(encoded, &payload)
	}
	switch {
	case isDecodeError(err):
		t.fail(ReasonBadPayload)
		w.recordTask(now, EventFinish, t)
	case errors.Is(err, object.ErrNotFound):
		t.fail(ReasonPayloadNotFound)
		w.recordTask(now, EventFinish, t)
	case err != nil:
		w.stopNow(now, t, ReasonStoreUnavailable)
	default:
		t.begin(payload, checkpoint.Done, now)
		if t.start.Checkpoint != "" {
			w.recordTask(now, EventResume, t)
		}
	}
}

func isDecodeError(err error) bool {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	return errors.As(err, &syntaxError) || errors.As(err, &typeError)
}

// writeCheckpoint starts to save the task's current progress. The caller ensures that
// no other checkpoint write of the task is in progress.
func (w *Worker) writeCheckpoint(now time.Time, t *task) {
	t.writingCheckpoint = true
	saved := Checkpoint{TaskAttempt: t.start.TaskAttempt, Done: t.workDone}
	deadline := now.Add(w.stopTime())
	if t.state == protocol.Checkpointing {
		deadline = t.stopDeadline
	}
	w.storeCalls.Go(func() {
		err := w.putCheckpoint(t.start.CheckpointTo, saved, deadline)
		w.mu.Lock()
		defer w.mu.Unlock()
		now := w.clock().Now()
		w.advance(now)
		w.finishCheckpoint(now, t, saved, err)
	})
}

func (w *Worker) putCheckpoint(key object.Key, checkpoint Checkpoint, deadline time.Time) error {
	encoded, err := json.Marshal(checkpoint)
	if err != nil {
		return err
	}
	ctx, cancel := clockwork.WithDeadline(context.Background(), w.clock(), deadline)
	defer cancel()
	return w.store().Put(ctx, key, encoded)
}

// finishCheckpoint records the outcome of a checkpoint write. If the task is stopping
// and has progressed since that write began, another checkpoint is written.
func (w *Worker) finishCheckpoint(now time.Time, t *task, saved Checkpoint, err error) {
	t.writingCheckpoint = false
	t.nextCheckpoint = now.Add(t.payload.CheckpointEvery)
	if t.state.IsFinal() {
		return
	}
	if err == nil {
		t.checkpoint = t.start.CheckpointTo
		t.checkpointedWork = saved.Done
		w.recordTask(now, EventCheckpoint, t)
	}
	if t.state != protocol.Checkpointing {
		return
	}
	if saved.Done < t.workDone {
		w.writeCheckpoint(now, t)
		return
	}
	w.stopNow(now, t, t.reason)
}

func (w *Worker) store() object.Store {
	if w.ObjectStore == nil {
		return unavailableStore{}
	}
	return w.ObjectStore
}

// unavailableStore is an object store that is never available.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, object.Key) ([]byte, error) {
	return nil, object.ErrUnavailable
}

func (unavailableStore) Put(context.Context, object.Key, []byte) error {
	return object.ErrUnavailable
}

func (unavailableStore) Delete(context.Context, object.Key) error {
	return object.ErrUnavailable
}
