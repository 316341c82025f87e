package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and DEPLOY.md.
const (
	storeAnswerTime    = 4 * time.Millisecond
	transactionTime    = 5 * time.Millisecond
	maxTransactionSize = 1 << 20
	maxEntries         = 100
	maxRowBytes        = 65536
	maxRowsPerAnswer   = 500
	maxAnswerBytes     = 1 << 20
	maxFeedWait        = 30 * time.Second
)

// row is a row of the store on the wire, or a condition.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *row) id() string { return r.Table + "/" + r.Part + "/" + r.Key }

type transaction struct {
	ExpectedRevision []row `json:"expectedRevision"`
	Put              []row `json:"put"`
	Remove           []row `json:"remove"`
}

func (t *transaction) names(table string) bool {
	return slices.ContainsFunc(slices.Concat(t.Put, t.Remove), func(r row) bool { return r.Table == table })
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Ver     int64 `json:"ver"`
	NowMs   int64 `json:"nowMs"`
}

// lateWrites loses the answers of a share of the writes and performs these writes later, if their
// conditions hold then.
type lateWrites struct {
	share    float64
	from, to time.Duration
}

// store is a stand-in for the platform's store.
type store struct {
	address string
	server  *http.Server
	record  *record
	start   time.Time

	lock    sync.Mutex
	rows    map[string]row
	history []row
	ver     int64
	changed chan struct{}
	late    *lateWrites
}

func startStore(address string, rec *record) (*store, error) {
	s := &store{address: address, record: rec, start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /api/rows-get", s.serveRows)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /api/rows-parts", s.serveParts)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// setLate begins or, with nil, ends the loss of answers.
func (s *store) setLate(late *lateWrites) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.late = late
}

// loses draws whether the answer of a write is lost, and how much later the write is performed.
func (s *store) loses() (time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.late == nil || rand.Float64() >= s.late.share {
		return 0, false
	}
	return s.late.from + rand.N(s.late.to-s.late.from), true
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTransactionSize+1))
	var tx transaction
	if err != nil || len(body) > maxTransactionSize || json.Unmarshal(body, &tx) != nil || !tx.isValid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if tx.names("op") || tx.names("servers") {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(transactionTime)
	if delay, lost := s.loses(); lost {
		time.AfterFunc(delay, func() {
			_, _, performed := s.apply(tx)
			s.record.line("store: a write without an answer is performed %s after it came: %s, %t", delay.Round(time.Millisecond), tx.describe(), performed)
		})
		s.record.line("store: the answer of a write is lost: %s", tx.describe())
		// The connection delivers nothing further, and the caller hears nothing.
		select {
		case <-r.Context().Done():
		case <-time.After(maxFeedWait):
		}
		panic(http.ErrAbortHandler)
	}
	ver, current, performed := s.apply(tx)
	answer := rowsAnswer{Rows: current, Ver: ver, NowMs: s.nowMs()}
	if !performed {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (t *transaction) isValid() bool {
	if len(t.ExpectedRevision)+len(t.Put)+len(t.Remove) > maxEntries {
		return false
	}
	entries := slices.Concat(t.ExpectedRevision, t.Put, t.Remove)
	return !slices.ContainsFunc(entries, func(r row) bool { return r.Part != entries[0].Part || len(r.Value) > maxRowBytes })
}

// describe lists the rows of jobs and cancellations in a transaction.
func (t *transaction) describe() string {
	text := ""
	for _, r := range t.Put {
		if r.Table == "job" || r.Table == "cancel" {
			text += " " + r.Table + "/" + r.Key
		}
	}
	return fmt.Sprintf("%d rows,%s", len(t.Put)+len(t.Remove), text)
}

// apply performs a transaction if its conditions hold.
func (s *store) apply(tx transaction) (ver int64, current []row, performed bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range tx.ExpectedRevision {
		if s.rows[c.id()].Ver != c.Ver {
			for _, r := range tx.ExpectedRevision {
				if stored, ok := s.rows[r.id()]; ok {
					current = append(current, stored)
				}
			}
			return s.ver, current, false
		}
	}
	s.ver++
	for _, r := range tx.Put {
		r.Ver = s.ver
		s.change(r)
	}
	for _, r := range tx.Remove {
		if _, stored := s.rows[r.id()]; stored {
			r.Ver, r.Deleted, r.Value = s.ver, true, nil
			s.change(r)
		}
	}
	s.wake()
	return s.ver, nil, true
}

// change stores or removes a row. The lock must be held.
func (s *store) change(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or an executor does.
func (s *store) put(table, key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ver++
	s.change(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wake()
}

// drop removes a row as the platform does.
func (s *store) drop(table, key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ver++
	s.change(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.wake()
}

func (s *store) nowMs() int64 { return time.Since(s.start).Milliseconds() }

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerAnswer {
		limit = maxRowsPerAnswer
	}
	time.Sleep(storeAnswerTime)
	s.lock.Lock()
	answer := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
	for _, stored := range s.rows {
		to, bounded := query.Get("to"), query.Has("to")
		if stored.Table == query.Get("table") && stored.Part == query.Get("part") && stored.Key >= query.Get("from") && (!bounded || stored.Key < to) {
			answer.Rows = append(answer.Rows, stored)
		}
	}
	s.lock.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	size := 0
	for i := range answer.Rows {
		size += len(answer.Rows[i].Value)
		if i > 0 && (i == limit || size > maxAnswerBytes) {
			answer.Rows, answer.HasMore = answer.Rows[:i], true
			break
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	parts := []string{}
	for _, stored := range s.rows {
		if stored.Table == r.URL.Query().Get("table") && !slices.Contains(parts, stored.Part) && stored.Part > r.URL.Query().Get("after") {
			parts = append(parts, stored.Part)
		}
	}
	s.lock.Unlock()
	slices.Sort(parts)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts[:min(len(parts), 1000)], "hasMore": len(parts) > 1000})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil && query.Has("waitMs") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxFeedWait))
	for {
		answer, changed := s.changesAfter(query.Get("table"), after)
		if len(answer.Rows) > 0 {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_ = json.NewEncoder(w).Encode(answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(table string, after int64) (rowsAnswer, chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	answer := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
	first, _ := slices.BinarySearchFunc(s.history, after, func(r row, after int64) int {
		if r.Ver <= after {
			return -1
		}
		return 1
	})
	for _, r := range s.history[first:] {
		if r.Table != table {
			continue
		}
		if len(answer.Rows) >= maxRowsPerAnswer && r.Ver != answer.Rows[len(answer.Rows)-1].Ver {
			answer.HasMore, answer.Ver = true, answer.Rows[len(answer.Rows)-1].Ver
			break
		}
		answer.Rows = append(answer.Rows, r)
	}
	return answer, s.changed
}

func (s *store) close() { _ = s.server.Close() }
