package memory

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as the store sends and receives it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) id() string { return r.Table + "/" + r.Part + "/" + r.Key }

// store is an in-memory stand-in for the platform's store, without faults.
type store struct {
	*httptest.Server

	lock    sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	version int64
	changed chan struct{}
}

func newStore() *store {
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.commit)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.Server = httptest.NewServer(mux)
	return s
}

// put writes a row without a transaction of an instance.
func (s *store) put(table, part, key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Part: part, Key: key, Value: value, Ver: s.version})
}

// apply stores or deletes a row. The lock must be held.
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

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRevision, Put, Remove []storeRow
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range tx.ExpectedRevision {
		if current := s.rows[c.id()]; current.Ver != c.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.reply(w, []storeRow{current})
			return
		}
	}
	s.version++
	for _, row := range tx.Put {
		row.Ver = s.version
		s.apply(row)
	}
	for _, row := range tx.Remove {
		row.Ver, row.Deleted = s.version, true
		s.apply(row)
	}
	s.reply(w, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	q := r.URL.Query()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.replyPage(w, rows)
}

const (
	// maxPageRows and maxPageBytes limit an answer with rows.
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// replyPage writes an answer with the first rows. The lock must be held.
func (s *store) replyPage(w http.ResponseWriter, rows []storeRow) {
	bytes, count := 0, 0
	for count < min(len(rows), maxPageRows) && (count == 0 || bytes+len(rows[count].Value) <= maxPageBytes) {
		bytes += len(rows[count].Value)
		count++
	}
	s.replyRows(w, rows[:count], count < len(rows))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.lock.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Ver > after && row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, rows)
			s.lock.Unlock()
			return
		}
		s.lock.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.lock.Lock()
			s.reply(w, nil)
			s.lock.Unlock()
			return
		}
	}
}

// reply writes an answer with rows. The lock must be held.
func (s *store) reply(w http.ResponseWriter, rows []storeRow) {
	s.replyRows(w, rows, false)
}

func (s *store) replyRows(w http.ResponseWriter, rows []storeRow, hasMore bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": hasMore, "ver": s.version, "nowMs": 1})
}
