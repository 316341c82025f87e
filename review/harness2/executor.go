package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// holdMax is the bound holdMaxMs, and stopTime how long a stop takes.
	holdMax  = 6 * time.Second
	stopTime = 50 * time.Millisecond
	// maxListedEnds limits the ends in a response.
	maxListedEnds = 500
	maxHoldWait   = 2 * time.Second
	executorTick  = 5 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	// firstClock is the executor's clock at its start, in milliseconds.
	firstClock = 1000
)

// maxPercent returns the highest progress that a running task of the step shows.
func (s stepPlan) maxPercent() int {
	if s.lasting {
		return 100
	}
	return 99
}

// executorRun is a run on an executor.
type executorRun struct {
	task      string
	run       int64
	plan      stepPlan
	startedAt time.Time
	stopAt    time.Time
}

// executor is a stand-in for an executor that guards its capacity.
type executor struct {
	id, zone, rack, address string
	cpu, memory             int64
	world                   *world
	born                    time.Time
	server                  *http.Server

	lock     sync.Mutex
	token    int64
	leaseEnd int64
	runs     map[string]*executorRun
	ends     []*taskEnd
	lastEnd  int64
	highest  map[string]int64
	changed  chan struct{}
	sequence int
}

func newExecutor(id, zone, rack string, w *world) (*executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{
		id: id, zone: zone, rack: rack, address: listener.Addr().String(), cpu: 16000, memory: 64000, world: w, born: time.Now(),
		runs: map[string]*executorRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.handle(e.start))
	mux.HandleFunc("POST /api/run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /api/hold", e.handle(e.hold))
	mux.HandleFunc("POST /api/pace", e.handle(e.pace))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// entry returns the executor's entry in the store.
func (e *executor) entry(service string) []byte {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": e.cpu, "memoryRequestMb": e.memory, "gpu": 0}, "labels": []string{"a", e.rack},
		"clockMs": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	return value
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + firstClock }

// command is the body of a call.
type command struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Observed     int64  `json:"observed"`
	WaitMs       int64  `json:"waitMs"`
}

// handle checks the instance and the fencing token of a call, and passes it on with the lock held.
func (e *executor) handle(execute func(w http.ResponseWriter, r *http.Request, c command)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.lock.Lock()
		defer e.lock.Unlock()
		e.advance()
		if c.FencingToken < e.token {
			e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		e.token = c.FencingToken
		execute(w, r, c)
	}
}

// reply sends a response. The lock must be held.
func (e *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = e.clock(), e.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extendLease applies the lease end of a call. The lock must be held.
func (e *executor) extendLease(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, _ *http.Request, c command) {
	if c.DeadlineMs < e.clock() {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.extendLease(c.DeadlineMs)
	if r := e.runs[c.Task]; r != nil && r.run == c.Run {
		e.reply(w, http.StatusOK, map[string]any{})
		return
	}
	if c.Run <= e.highest[c.Task] || e.runs[c.Task] != nil {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	e.world.lock.Lock()
	_, plan, _, known := e.world.planOf(c.Task)
	e.world.lock.Unlock()
	if known && !e.hasRoom(plan) {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	if plan, known = e.world.started(e.id, c.Task, c.Run, c.Spec); !known {
		e.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	e.runs[c.Task] = &executorRun{task: c.Task, run: c.Run, plan: plan, startedAt: time.Now()}
	e.reply(w, http.StatusOK, map[string]any{})
}

// hasRoom reports whether a task fits. The lock must be held.
func (e *executor) hasRoom(plan stepPlan) bool {
	cpu, memory := plan.cpu, plan.memory
	for _, r := range e.runs {
		cpu += r.plan.cpu
		memory += r.plan.memory
	}
	return cpu <= e.cpu && memory <= e.memory
}

func (e *executor) stop(w http.ResponseWriter, _ *http.Request, c command) {
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if r := e.runs[c.Task]; r != nil && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	e.reply(w, http.StatusOK, map[string]any{})
}

func (e *executor) pace(w http.ResponseWriter, _ *http.Request, _ command) {
	e.reply(w, http.StatusOK, map[string]any{})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, c command) {
	e.extendLease(c.DeadlineMs)
	e.note(c.Observed)
	deadline := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxHoldWait))
	for waiting := c.WaitMs > 0; waiting && len(e.ends) == 0; {
		changed := e.changed
		e.lock.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.lock.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := 100
		if run.plan.duration > 0 {
			percent = min(int(100*time.Since(run.startedAt)/run.plan.duration), run.plan.maxPercent())
		}
		running = append(running, []any{run.task, run.run, "", percent, run.plan.cpu})
	}
	for _, end := range e.ends[:min(len(e.ends), maxListedEnds)] {
		if end.listedAt.IsZero() {
			e.world.lock.Lock()
			end.listedAt = time.Now()
			e.world.lock.Unlock()
		}
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	e.reply(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// note drops the ends that are taken note of. The lock must be held.
func (e *executor) note(observed int64) {
	e.world.lock.Lock()
	defer e.world.lock.Unlock()
	for len(e.ends) > 0 && e.ends[0].number <= observed {
		e.ends[0].notedAt = time.Now()
		e.ends = e.ends[1:]
	}
}

// advance ends the runs that are over. The lock must be held.
func (e *executor) advance() {
	lapsed := e.leaseEnd > 0 && e.clock() > e.leaseEnd
	for _, r := range e.runs {
		switch {
		case !r.plan.lasting && time.Since(r.startedAt) >= r.plan.duration:
			e.end(r, "done")
		case lapsed:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
			e.end(r, "stopped")
		}
	}
}

func (e *executor) end(r *executorRun, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastEnd++
	end := &taskEnd{number: e.lastEnd, task: r.task, run: r.run, how: how, executor: e.id, endedAt: time.Now()}
	e.ends = append(e.ends, end)
	e.world.ended(end)
	close(e.changed)
	e.changed = make(chan struct{})
}

// tick ends the runs that are over.
func (e *executor) tick() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.advance()
}
