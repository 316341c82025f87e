package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the platform's store.
const (
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxValueBytes         = 65536
	maxPageRows           = 500
	transactionTime       = 5 * time.Millisecond
	readTime              = 4 * time.Millisecond
)

// storeRow is a row of the store on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store.
type store struct {
	lock    sync.Mutex
	rows    map[rowID]storeRow
	history []storeRow
	ver     int64
	changed chan struct{}
	// down makes the store refuse all calls with status 503.
	down    bool
	started time.Time
	address string
	server  *http.Server
}

func newStore() (*store, error) {
	s := &store{rows: map[rowID]storeRow{}, changed: make(chan struct{}), started: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	background.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

func (s *store) setDown(down bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.down = down
}

// put writes a row of the operator or of an executor. It fails while the store is down.
func (s *store) put(table, key string, content any) bool {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down {
		return false
	}
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Value: value, Ver: s.ver})
	return true
}

// remove deletes a row that has expired.
func (s *store) remove(table, key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, exists := s.rows[rowID{table, "", key}]; !exists {
		return
	}
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

// apply changes a row. The lock must be held.
func (s *store) apply(r storeRow) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

type transaction struct {
	ExpectedRevision []storeRow `json:"expectedRevision"`
	Put              []storeRow `json:"put"`
	Remove           []storeRow `json:"remove"`
}

// isValid reports whether a transaction is within the store's limits.
func (tx *transaction) isValid() bool {
	entries := slices.Concat(tx.ExpectedRevision, tx.Put, tx.Remove)
	for _, e := range entries {
		if e.Part != entries[0].Part || len(e.Value) > maxValueBytes || len(e.Key) > 200 {
			return false
		}
	}
	return len(entries) <= maxTransactionEntries
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&tx); err != nil || !tx.isValid() {
		http.Error(w, "transaction is invalid", http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, table := range slices.Concat(tx.Put, tx.Remove) {
		if table.Table == "op" || table.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []storeRow
	conflict := false
	for _, e := range tx.ExpectedRevision {
		row := s.rows[e.id()]
		row.Table, row.Part, row.Key = e.Table, e.Part, e.Key
		current = append(current, row)
		conflict = conflict || row.Ver != e.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, e := range tx.Put {
		e.Ver, e.Deleted = s.ver, false
		s.apply(e)
	}
	for _, e := range tx.Remove {
		e.Ver, e.Deleted, e.Value = s.ver, true, nil
		s.apply(e)
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return cmp.Compare(a.Key, b.Key) })
	size, count := 0, 0
	for count < len(rows) && count < limit && size <= maxTransactionBytes {
		size += len(rows[count].Value)
		count++
	}
	s.reply(w, http.StatusOK, rows[:count], count < len(rows))
}

// feed waits for changes of a table after a version.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	expired := false
	for {
		s.lock.Lock()
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			s.lock.Unlock()
			return
		}
		var rows []storeRow
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r storeRow, ver int64) int { return cmp.Compare(r.Ver, ver) })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows, false)
			s.lock.Unlock()
			return
		}
		s.lock.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
