package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	holdMax         = 6 * time.Second
	executorBeat    = 1500 * time.Millisecond
	maxHoldWait     = 2 * time.Second
	maxListed       = 500
	executorService = "svc-chairs"
)

// work says how a task behaves: how long it works on a sound executor.
type work interface {
	duration(task string) time.Duration
	resources(task string) (cpu, memoryMB int64)
	// started and ended are told of each run, with the executor's lock held.
	started(e *executor, task string, run int64)
	ended(e *executor, task string, run int64, how string)
}

type run struct {
	task       string
	number     int64
	startedAt  time.Time
	endsAt     time.Time
	cpu, memMB int64
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// MarshalJSON encodes the end as PROTOCOL.md shows it.
func (e end) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.number, e.task, e.run, e.how, ""})
}

// executor is a stand-in for an executor that guards its capacity and stops runs at once.
type executor struct {
	id, address, zone string
	store             *store
	work              work
	record            *record

	lock    sync.Mutex
	up      bool
	server  *http.Server
	labels  []string
	cpu     int64
	memMB   int64
	born    time.Time
	life    int
	beats   int64
	token   int64
	lease   int64
	running map[string]*run
	ends    []end
	lastEnd int64
	highest map[string]int64
}

func newExecutor(id, address, zone string, labels []string, st *store, w work, rec *record) *executor {
	return &executor{id: id, address: address, zone: zone, labels: labels, cpu: 16000, memMB: 64000, store: st, work: w, record: rec}
}

// boot starts a life of the executor: it listens, knows nothing of before, and registers.
func (e *executor) boot(labels []string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.serveStart)
	mux.HandleFunc("POST /api/run-stop", e.serveStop)
	mux.HandleFunc("POST /api/hold", e.serveHold)
	mux.HandleFunc("POST /api/pace", e.servePace)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	e.lock.Lock()
	e.up, e.born, e.labels, e.life = true, time.Now(), labels, e.life+1
	e.token, e.lease, e.lastEnd, e.beats = 0, 0, 0, 0
	e.running, e.highest, e.ends = map[string]*run{}, map[string]int64{}, nil
	e.server = &http.Server{Handler: mux}
	server, life := e.server, e.life
	e.lock.Unlock()
	e.beat(life)
	go func() { _ = server.Serve(listener) }()
	go e.heartbeat(life)
	go e.tick(life)
	e.record.line("executor %s: life %d begins, labels %v", e.id, life, labels)
	return nil
}

// crash ends a life: everything that runs ends, and nothing is said to anybody.
func (e *executor) crash() {
	e.lock.Lock()
	server := e.server
	e.up = false
	for _, r := range e.running {
		e.work.ended(e, r.task, r.number, "crashed")
	}
	e.running, e.ends = map[string]*run{}, nil
	e.record.line("executor %s: crashes", e.id)
	e.lock.Unlock()
	_ = server.Close()
}

func (e *executor) heartbeat(life int) {
	for {
		time.Sleep(executorBeat)
		if !e.beat(life) {
			return
		}
	}
}

// beat writes the executor's entry, and reports whether the life goes on.
func (e *executor) beat(life int) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if !e.up || e.life != life {
		return false
	}
	e.beats++
	e.store.put("servers", e.id, map[string]any{
		"service": executorService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]any{"cpu": e.cpu, "memoryRequestMb": e.memMB, "gpu": 0},
		"labels": e.labels, "clockMs": e.clock(), "sequence": e.beats, "born": e.born.UnixMilli(),
	})
	return true
}

func (e *executor) tick(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		e.lock.Lock()
		if !e.up || e.life != life {
			e.lock.Unlock()
			return
		}
		e.endDue()
		e.lock.Unlock()
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// endDue ends the runs that are done and those whose lease has expired. The lock must be held.
func (e *executor) endDue() {
	expired := e.lease > 0 && e.clock() > e.lease
	for _, r := range e.running {
		switch {
		case !time.Now().Before(r.endsAt):
			e.end(r, "done")
		case expired:
			e.end(r, "lapsed")
		}
	}
}

func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how})
	e.work.ended(e, r.task, r.number, how)
}

type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Observed     int64  `json:"observed"`
	WaitMs       int64  `json:"waitMs"`
}

// receive decodes an order and checks the instance that it is meant for and its fencing token. If ok, the
// lock is held.
func (e *executor) receive(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if meant := r.Header.Get("X-Expected-Instance"); meant != "" && meant != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.lock.Lock()
	if o.FencingToken < e.token {
		e.refuse(w, "fence")
		e.lock.Unlock()
		return o, false
	}
	e.token = o.FencingToken
	e.endDue()
	return o, true
}

func (e *executor) extendLease(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "reason": reason})
}

func (e *executor) accept(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()})
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	defer e.lock.Unlock()
	if o.DeadlineMs < e.clock() {
		e.refuse(w, "late")
		return
	}
	e.extendLease(o.DeadlineMs)
	if present := e.running[o.Task]; present != nil && present.number == o.Run {
		e.accept(w)
		return
	}
	if o.Run <= e.highest[o.Task] || e.running[o.Task] != nil {
		e.refuse(w, "old")
		return
	}
	cpu, mem := e.work.resources(o.Task)
	usedCPU, usedMem := cpu, mem
	for _, other := range e.running {
		usedCPU, usedMem = usedCPU+other.cpu, usedMem+other.memMB
	}
	if usedCPU > e.cpu || usedMem > e.memMB {
		e.refuse(w, "room")
		return
	}
	now := time.Now()
	e.running[o.Task] = &run{task: o.Task, number: o.Run, startedAt: now, endsAt: now.Add(e.work.duration(o.Task)), cpu: cpu, memMB: mem}
	e.work.started(e, o.Task, o.Run)
	e.accept(w)
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	defer e.lock.Unlock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if present := e.running[o.Task]; present != nil && present.number == o.Run {
		e.end(present, "stopped")
	}
	e.accept(w)
}

func (e *executor) servePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.receive(w, r); ok {
		defer e.lock.Unlock()
		e.accept(w)
	}
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	defer e.lock.Unlock()
	if o.DeadlineMs > 0 {
		e.extendLease(o.DeadlineMs)
	}
	e.ends = slices.DeleteFunc(e.ends, func(x end) bool { return x.number <= o.Observed })
	deadline := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	life := e.life
	for len(e.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		e.lock.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.lock.Lock()
		if e.life != life || !e.up {
			panic(http.ErrAbortHandler)
		}
		e.endDue()
	}
	running := [][]any{}
	for _, present := range e.running {
		total := present.endsAt.Sub(present.startedAt)
		percent := min(int(100*time.Since(present.startedAt)/max(total, 1)), 99)
		running = append(running, []any{present.task, present.number, "", percent, present.cpu})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "finished": slices.Clone(e.ends[:min(len(e.ends), maxListed)]),
	})
}

func (e *executor) hasLabel(label string) bool { return slices.Contains(e.labels, label) }

func (e *executor) close() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.up = false
	if e.server != nil {
		_ = e.server.Close()
	}
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }
