package worker_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/object"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

func TestWorker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in worker")
}

// memory is an object store that can be down or hold its writes back.
type memory struct {
	mu      sync.Mutex
	objects map[object.Key][]byte
	down    bool
	// gate, if set, holds each write until it is closed or the write's context ends.
	gate chan struct{}
	puts int
}

func (m *memory) Get(_ context.Context, key object.Key) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return content, nil
}

func (m *memory) Put(ctx context.Context, key object.Key, content []byte) error {
	m.mu.Lock()
	m.puts++
	gate, down := m.gate, m.down
	m.mu.Unlock()
	if down {
		return object.ErrUnavailable
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return object.ErrUnavailable
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[object.Key][]byte)
	}
	m.objects[key] = content
	return nil
}

func (m *memory) Delete(_ context.Context, key object.Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
	return nil
}

func (m *memory) saved(key object.Key) time.Duration {
	GinkgoHelper()
	content, err := m.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	var checkpoint worker.Checkpoint
	Expect(json.Unmarshal(content, &checkpoint)).To(Succeed())
	return checkpoint.Done
}

const leaseTerm = 8 * time.Second

// fixture is a worker with an owner that follows the protocol.
type fixture struct {
	worker *worker.Worker
	clock  *clockwork.FakeClock
	store  *memory
	basis  protocol.Counter
	epoch  protocol.Epoch
}

func newFixture() *fixture {
	clock := clockwork.NewFakeClock()
	store := &memory{}
	f := &fixture{clock: clock, store: store, epoch: 1}
	f.worker = &worker.Worker{
		ID: "w", Clock: clock, ObjectStore: store,
		Capacity: resource.Vector{Processors: 2000, Memory: 1 << 30},
	}
	f.sync(protocol.SyncRequest{})
	return f
}

// sync sends a request that builds on the last answer and must be accepted.
func (f *fixture) sync(request protocol.SyncRequest) protocol.SyncResponse {
	GinkgoHelper()
	request.Epoch, request.Basis, request.LeaseTerm = f.epoch, f.basis, leaseTerm
	answer, err := f.worker.Sync(request)
	Expect(err).NotTo(HaveOccurred())
	f.basis = answer.Counter
	return answer
}

// pass renews the lease in steps while d passes.
func (f *fixture) pass(d time.Duration) protocol.SyncResponse {
	GinkgoHelper()
	for ; d > time.Second; d -= time.Second {
		f.clock.Advance(time.Second)
		f.sync(protocol.SyncRequest{})
	}
	f.clock.Advance(d)
	return f.sync(protocol.SyncRequest{})
}

// settle waits for the object store and returns the worker's tasks.
func (f *fixture) settle() []protocol.TaskStatus {
	GinkgoHelper()
	f.worker.Wait()
	return f.sync(protocol.SyncRequest{}).Tasks
}

func (f *fixture) start(starts ...protocol.StartTask) protocol.SyncResponse {
	GinkgoHelper()
	return f.sync(protocol.SyncRequest{Start: starts})
}

func (f *fixture) count(kind worker.EventKind) int {
	n := 0
	for _, event := range f.worker.Journal.Entries() {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

func attempt(task string, n protocol.Attempt) protocol.TaskAttempt {
	return protocol.TaskAttempt{Task: protocol.TaskID(task), Attempt: n}
}

// start returns a command for a task of one processor that can checkpoint.
func start(task string, n protocol.Attempt, payload worker.Payload) protocol.StartTask {
	GinkgoHelper()
	content, err := json.Marshal(payload)
	Expect(err).NotTo(HaveOccurred())
	return protocol.StartTask{
		TaskAttempt:  attempt(task, n),
		Class:        "build",
		Resources:    resource.Vector{Processors: 1000, Memory: 1 << 20},
		Payload:      content,
		CheckpointTo: object.Key("checkpoint/" + task),
	}
}

func stop(task string, n protocol.Attempt, mode protocol.StopMode) protocol.SyncRequest {
	return protocol.SyncRequest{Stop: []protocol.StopTask{{TaskAttempt: attempt(task, n), Mode: mode}}}
}
