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

// memoryStore is an object store in memory that can be unavailable or block its writes.
type memoryStore struct {
	mu          sync.Mutex
	objects     map[object.Key][]byte
	unavailable bool
	// putGate, if set, blocks each write until it is closed or the write's context ends.
	putGate  chan struct{}
	putCalls int
}

func (m *memoryStore) Get(_ context.Context, key object.Key) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, ok := m.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return content, nil
}

func (m *memoryStore) Put(ctx context.Context, key object.Key, content []byte) error {
	m.mu.Lock()
	m.putCalls++
	gate, unavailable := m.putGate, m.unavailable
	m.mu.Unlock()
	if unavailable {
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

func (m *memoryStore) Delete(_ context.Context, key object.Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
	return nil
}

func (m *memoryStore) savedWork(key object.Key) time.Duration {
	GinkgoHelper()
	content, err := m.Get(context.Background(), key)
	Expect(err).NotTo(HaveOccurred())
	var checkpoint worker.Checkpoint
	Expect(json.Unmarshal(content, &checkpoint)).To(Succeed())
	return checkpoint.Done
}

const leaseTerm = 8 * time.Second

// fixture has a worker and sends it requests as an owner that follows the protocol.
type fixture struct {
	worker *worker.Worker
	clock  *clockwork.FakeClock
	store  *memoryStore
	basis  protocol.Counter
	epoch  protocol.Epoch
}

func newFixture() *fixture {
	clock := clockwork.NewFakeClock()
	store := &memoryStore{}
	f := &fixture{clock: clock, store: store, epoch: 1}
	f.worker = &worker.Worker{
		ID: "w", Clock: clock, ObjectStore: store,
		Capacity: resource.Vector{Processors: 2000, Memory: 1 << 30},
	}
	f.sync(protocol.SyncRequest{})
	return f
}

// sync sends a request whose basis is the last response; the request must be accepted.
func (f *fixture) sync(request protocol.SyncRequest) protocol.SyncResponse {
	GinkgoHelper()
	request.Epoch, request.Basis, request.LeaseTerm = f.epoch, f.basis, leaseTerm
	response, err := f.worker.Sync(request)
	Expect(err).NotTo(HaveOccurred())
	f.basis = response.Counter
	return response
}

// advance advances the clock by d and renews the lease at least every second.
func (f *fixture) advance(d time.Duration) protocol.SyncResponse {
	GinkgoHelper()
	for ; d > time.Second; d -= time.Second {
		f.clock.Advance(time.Second)
		f.sync(protocol.SyncRequest{})
	}
	f.clock.Advance(d)
	return f.sync(protocol.SyncRequest{})
}

// tasksAfterStoreCalls waits until no call of the object store is in progress and
// returns the worker's tasks.
func (f *fixture) tasksAfterStoreCalls() []protocol.TaskStatus {
	GinkgoHelper()
	f.worker.WaitForStore()
	return f.sync(protocol.SyncRequest{}).Tasks
}

func (f *fixture) startTasks(commands ...protocol.StartTask) protocol.SyncResponse {
	GinkgoHelper()
	return f.sync(protocol.SyncRequest{Start: commands})
}

func (f *fixture) countEvents(kind worker.EventKind) int {
	n := 0
	for _, event := range f.worker.Journal.Entries() {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

func taskAttempt(task string, n protocol.Attempt) protocol.TaskAttempt {
	return protocol.TaskAttempt{Task: protocol.TaskID(task), Attempt: n}
}

// startCommand returns a command to start a task that needs one processor and writes
// checkpoints.
func startCommand(task string, n protocol.Attempt, payload worker.Payload) protocol.StartTask {
	GinkgoHelper()
	content, err := json.Marshal(payload)
	Expect(err).NotTo(HaveOccurred())
	return protocol.StartTask{
		TaskAttempt:  taskAttempt(task, n),
		Class:        "build",
		Resources:    resource.Vector{Processors: 1000, Memory: 1 << 20},
		Payload:      content,
		CheckpointTo: object.Key("checkpoint/" + task),
	}
}

func stopRequest(task string, n protocol.Attempt, mode protocol.StopMode) protocol.SyncRequest {
	return protocol.SyncRequest{Stop: []protocol.StopTask{{TaskAttempt: taskAttempt(task, n), Mode: mode}}}
}
