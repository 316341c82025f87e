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

// load finds out what a task does and where it resumes, reading the object store
// if it must.
func (w *Worker) load(now time.Time, t *task) {
	if t.start.PayloadKey == "" && t.start.Checkpoint == "" {
		w.finishLoad(now, t, t.start.Payload, Checkpoint{}, nil)
		return
	}
	w.work.Go(func() {
		content, checkpoint, err := w.read(t.start)
		w.mu.Lock()
		defer w.mu.Unlock()
		now := w.clock().Now()
		w.advance(now)
		w.finishLoad(now, t, content, checkpoint, err)
	})
}

// read returns the payload and the checkpoint of a start. It does not try again: a
// task that can't be read is stopped and handed back to the owner, which has the
// retry budget.
func (w *Worker) read(start protocol.StartTask) (payload []byte, checkpoint Checkpoint, err error) {
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
	content, err := w.store().Get(ctx, start.Checkpoint)
	if errors.Is(err, object.ErrNotFound) {
		// No attempt got as far as a checkpoint.
		return payload, Checkpoint{}, nil
	}
	if err != nil {
		return nil, Checkpoint{}, err
	}
	return payload, checkpoint, json.Unmarshal(content, &checkpoint)
}

func (w *Worker) finishLoad(now time.Time, t *task, content []byte, checkpoint Checkpoint, err error) {
	if t.state != protocol.Running {
		return
	}
	var payload Payload
	if err == nil && len(content) > 0 {
		err = json.Unmarshal(content, &payload)
	}
	switch {
	case isMalformed(err):
		t.fail(ReasonBadPayload)
		w.recordTask(now, EventFinish, t)
	case errors.Is(err, object.ErrNotFound):
		t.fail(ReasonNoObject)
		w.recordTask(now, EventFinish, t)
	case err != nil:
		w.stopNow(now, t, ReasonUnavailable)
	default:
		t.load(payload, checkpoint.Done, now)
		if t.start.Checkpoint != "" {
			w.recordTask(now, EventResume, t)
		}
	}
}

func isMalformed(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind)
}

// writeCheckpoint saves the task's present progress. The caller ensures that no
// other write of the task is under way.
func (w *Worker) writeCheckpoint(now time.Time, t *task) {
	t.writing = true
	saved := Checkpoint{TaskAttempt: t.start.TaskAttempt, Done: t.done}
	deadline := now.Add(w.stopTime())
	if t.state == protocol.Checkpointing {
		deadline = t.stopDeadline
	}
	w.work.Go(func() {
		err := w.write(t.start.CheckpointTo, saved, deadline)
		w.mu.Lock()
		defer w.mu.Unlock()
		now := w.clock().Now()
		w.advance(now)
		w.finishCheckpoint(now, t, saved, err)
	})
}

func (w *Worker) write(key object.Key, checkpoint Checkpoint, deadline time.Time) error {
	content, err := json.Marshal(checkpoint)
	if err != nil {
		return err
	}
	ctx, cancel := clockwork.WithDeadline(context.Background(), w.clock(), deadline)
	defer cancel()
	return w.store().Put(ctx, key, content)
}

// finishCheckpoint records a write. A task that is to stop and made progress since
// that write began is written once more.
func (w *Worker) finishCheckpoint(now time.Time, t *task, saved Checkpoint, err error) {
	t.writing = false
	t.nextCheckpoint = now.Add(t.payload.CheckpointEvery)
	if t.state.IsFinal() {
		return
	}
	if err == nil {
		t.checkpoint = t.start.CheckpointTo
		t.checkpointed = saved.Done
		w.recordTask(now, EventCheckpoint, t)
	}
	if t.state != protocol.Checkpointing {
		return
	}
	if saved.Done < t.done {
		w.writeCheckpoint(now, t)
		return
	}
	w.stopNow(now, t, t.reason)
}

func (w *Worker) store() object.Store {
	if w.ObjectStore == nil {
		return noStore{}
	}
	return w.ObjectStore
}

// noStore is an object store that is never available.
type noStore struct{}

func (noStore) Get(context.Context, object.Key) ([]byte, error) {
	return nil, object.ErrUnavailable
}

func (noStore) Put(context.Context, object.Key, []byte) error {
	return object.ErrUnavailable
}

func (noStore) Delete(context.Context, object.Key) error {
	return object.ErrUnavailable
}
