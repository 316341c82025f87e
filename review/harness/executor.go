package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the executors of a small deployment.
const (
	executorMilliCPU   = 16000
	executorMemoryMB   = 62500
	heartbeatInterval  = 1500 * time.Millisecond
	missedHeartbeats   = 3
	maxHold            = 6 * time.Second
	maxHoldWait        = 2 * time.Second
	maxListedEnds      = 500
	executorTick       = 2 * time.Millisecond
	serviceName        = "chairdesk"
	drainRemaining     = 2500 * time.Millisecond
	firstExecutorClock = 1000
)

// How a run ended.
const (
	endDone    = "done"
	endStopped = "stopped"
	endLapsed  = "lapsed"
)

// taskPlan says what a task needs and how long it works.
type taskPlan struct {
	milliCPU, memoryMB int64
	duration           time.Duration
	percentKnown       bool
}

// taskRun is a run of a task on an executor.
type taskRun struct {
	task      string
	number    int64
	plan      taskPlan
	startedAt time.Time
}

// end is an end that the owner of the executor hasn't observed.
type end struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
	// leaseLapsed reports that the executor's lease lapsed after the end.
	leaseLapsed bool
}

// executor is a stand-in for an executor of the platform.
type executor struct {
	id, zone, rack string
	address        string
	born           time.Time
	store          *store
	judge          *judge
	plan           func(task string) taskPlan
	server         *http.Server

	lock     sync.Mutex
	cut      bool
	draining bool
	gone     bool
	sequence int64
	// heartbeatAt is when the store last accepted a heartbeat.
	heartbeatAt time.Time
	token       int64
	// heldAt is when the owner last renewed the leases.
	heldAt   time.Time
	leaseEnd int64
	running  map[string]*taskRun
	ends     []end
	lastEnd  int64
	// highest is the highest run of a task that was stopped or has ended here.
	highest map[string]int64
	usedCPU int64
	usedMB  int64
}

func newExecutor(id, zone, rack string, s *store, j *judge, plan func(string) taskPlan) (*executor, error) {
	e := &executor{
		id: id, zone: zone, rack: rack, born: time.Now(), store: s, judge: j, plan: plan,
		running: map[string]*taskRun{}, highest: map[string]int64{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.handle(e.start))
	mux.HandleFunc("POST /api/run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /api/pace", e.handle(func(w http.ResponseWriter, _ command) { e.answer(w, http.StatusOK, nil) }))
	mux.HandleFunc("POST /api/hold", e.hold)
	e.server = &http.Server{Handler: mux}
	background.Go(func() { _ = e.server.Serve(listener) })
	background.Go(e.live)
	return e, nil
}

func (e *executor) clock() int64 {
	return time.Since(e.born).Milliseconds() + firstExecutorClock
}

// live ends runs in time, sends heartbeats and removes the entry after its expiry.
func (e *executor) live() {
	next := time.Now()
	for {
		e.lock.Lock()
		e.advance()
		now := time.Now()
		if !now.Before(next) && !e.cut && !e.gone {
			e.heartbeat(now)
			next = now.Add(heartbeatInterval)
		}
		if !e.heartbeatAt.IsZero() && (e.cut || e.gone) && now.Sub(e.heartbeatAt) >= missedHeartbeats*heartbeatInterval {
			e.judge.note("the store removes the entry of %s", e.id)
			e.store.remove("servers", e.id)
			e.heartbeatAt = time.Time{}
		}
		e.lock.Unlock()
		time.Sleep(executorTick)
	}
}

// heartbeat writes the executor's entry. The lock must be held.
func (e *executor) heartbeat(now time.Time) {
	e.sequence++
	entry := map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born.UnixMilli(), "machine": "m-" + e.id,
		"capacity": map[string]any{"cpu": executorMilliCPU, "memoryRequestMb": executorMemoryMB, "gpu": 0},
		"labels":   []string{"a", e.rack},
	}
	if e.draining {
		entry["state"], entry["remainingMs"] = "draining", drainRemaining.Milliseconds()
	}
	if e.store.put("servers", e.id, entry) {
		e.heartbeatAt = now
	}
}

// drain reports a planned shutdown to the store.
func (e *executor) drain() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.draining = true
	e.heartbeat(time.Now())
}

// awaitHold waits until the owner renews the leases again.
func (e *executor) awaitHold() {
	began := time.Now()
	for time.Since(began) < maxHoldWait {
		e.lock.Lock()
		renewed := e.heldAt.After(began)
		e.lock.Unlock()
		if renewed {
			return
		}
		time.Sleep(executorTick)
	}
}

func (e *executor) setCut(cut bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.cut = cut
}

// leave ends the executor and all that runs on it.
func (e *executor) leave() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.advance()
	e.gone = true
	for _, r := range e.running {
		e.judge.ended(e.id, r.task, r.number, "gone")
	}
	clear(e.running)
	e.ends = nil
}

// advance ends the runs whose work is done or whose lease has lapsed. The lock must be held.
func (e *executor) advance() {
	now := time.Now()
	lapsed := e.clock() > e.leaseEnd
	if lapsed {
		for i := range e.ends {
			e.ends[i].leaseLapsed = true
		}
	}
	for _, r := range e.running {
		switch {
		case lapsed:
			e.endRun(r, endLapsed)
		case now.Sub(r.startedAt) >= r.plan.duration:
			e.endRun(r, endDone)
		}
	}
}

func (e *executor) endRun(r *taskRun, how string) {
	delete(e.running, r.task)
	e.usedCPU -= r.plan.milliCPU
	e.usedMB -= r.plan.memoryMB
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{number: e.lastEnd, task: r.task, run: r.number, how: how, at: time.Now(), leaseLapsed: how == endLapsed})
	e.judge.ended(e.id, r.task, r.number, how)
}

// command is the body of a call to an executor.
type command struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Observed     int64  `json:"observed"`
	WaitMs       int64  `json:"waitMs"`
}

func (e *executor) answer(w http.ResponseWriter, status int, fields map[string]any) {
	body := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	for name, value := range fields {
		body[name] = value
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	e.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

// isolated reports whether the executor is cut off. A call then gets no answer.
func (e *executor) isolated() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.cut || e.gone
}

// admit decodes a call and checks its incarnation and its fencing token. If it returns true,
// the lock is held.
func (e *executor) admit(w http.ResponseWriter, r *http.Request) (c command, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&c)
	if e.isolated() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return c, false
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	e.lock.Lock()
	e.advance()
	if c.FencingToken < e.token {
		e.refuse(w, "fence")
		e.lock.Unlock()
		return c, false
	}
	e.token = c.FencingToken
	return c, true
}

// renew extends the lease of all runs. The lock must be held.
func (e *executor) renew(deadlineMs int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadlineMs, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) handle(serve func(http.ResponseWriter, command)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := e.admit(w, r)
		if !ok {
			return
		}
		defer e.lock.Unlock()
		serve(w, c)
	}
}

// refuseStart refuses a start command and records it.
func (e *executor) refuseStart(w http.ResponseWriter, c command, reason string) {
	e.judge.note("%s refuses %s run %d, token %d: %s", e.id, c.Task, c.Run, c.FencingToken, reason)
	e.refuse(w, reason)
}

func (e *executor) start(w http.ResponseWriter, c command) {
	current := e.running[c.Task]
	plan := e.plan(c.Task)
	switch {
	case c.DeadlineMs < e.clock():
		e.refuseStart(w, c, "late")
		return
	case c.Run <= e.highest[c.Task], current != nil && current.number != c.Run:
		e.renew(c.DeadlineMs)
		e.refuseStart(w, c, "old")
		return
	case current == nil && (e.usedCPU+plan.milliCPU > executorMilliCPU || e.usedMB+plan.memoryMB > executorMemoryMB):
		e.renew(c.DeadlineMs)
		e.refuseStart(w, c, "room")
		return
	}
	e.renew(c.DeadlineMs)
	if current == nil {
		e.running[c.Task] = &taskRun{task: c.Task, number: c.Run, plan: plan, startedAt: time.Now()}
		e.usedCPU += plan.milliCPU
		e.usedMB += plan.memoryMB
		e.judge.started(e.id, c.Task, c.Run, c.FencingToken)
	}
	e.answer(w, http.StatusOK, nil)
}

func (e *executor) stop(w http.ResponseWriter, c command) {
	e.judge.note("%s is told to stop %s run %d, token %d", e.id, c.Task, c.Run, c.FencingToken)
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if current := e.running[c.Task]; current != nil && current.number <= c.Run {
		e.endRun(current, endStopped)
	}
	e.answer(w, http.StatusOK, nil)
}

// hold renews the lease and lists the runs, and the first unobserved ends.
func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := e.admit(w, r)
	if !ok {
		return
	}
	e.renew(c.DeadlineMs)
	e.heldAt = time.Now()
	kept := e.ends[:0]
	for _, ended := range e.ends {
		if ended.number > c.Observed {
			kept = append(kept, ended)
			continue
		}
		if !ended.leaseLapsed {
			e.judge.observed(e.id, ended)
		}
	}
	e.ends = kept
	deadline := time.Now().Add(min(time.Duration(c.WaitMs)*time.Millisecond, maxHoldWait))
	for len(e.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		e.lock.Unlock()
		time.Sleep(executorTick)
		e.lock.Lock()
	}
	e.advance()
	if e.cut || e.gone {
		e.lock.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, current := range e.running {
		percent := min(100*time.Since(current.startedAt)/max(current.plan.duration, 1), 99)
		running = append(running, []any{current.task, current.number, "", int64(percent), current.plan.milliCPU})
	}
	finished := [][]any{}
	for _, ended := range e.ends[:min(len(e.ends), maxListedEnds)] {
		finished = append(finished, []any{ended.number, ended.task, ended.run, ended.how, ""})
	}
	e.answer(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
	e.lock.Unlock()
}

func (e *executor) String() string {
	return fmt.Sprintf("%s in %s at %s", e.id, e.zone, e.address)
}
