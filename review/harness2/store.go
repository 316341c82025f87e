package main

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

// Limits of the platform's store.
const (
	rowBytes           = 65536
	maxEntries         = 100
	maxTransaction     = 1 << 20
	maxRows            = 500
	maxPage            = 1 << 20
	historyTime        = 20 * time.Second
	answerTime         = 4 * time.Millisecond
	transactionTime    = 5 * time.Millisecond
	maxFeedWait        = 30 * time.Second
	maxTransactionBody = 4 << 20
)

// storeRow is a row on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

type storeTransaction struct {
	ExpectedRevision []storeRow `json:"expectedRevision"`
	Put              []storeRow `json:"put"`
	Remove           []storeRow `json:"remove"`
}

// store is a stand-in for the platform's store. It is never disturbed.
type store struct {
	*httptest.Server
	record *record
	begun  time.Time

	lock    sync.Mutex
	rows    map[string]storeRow
	history []storeRow
	// dropped is the version up to which the history was dropped.
	dropped int64
	ver     int64
	changed chan struct{}
	// refused counts the transactions that broke a limit.
	refused int
}

func newStore(r *record) *store {
	s := &store{record: r, begun: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.Server = httptest.NewServer(mux)
	return s
}

func (s *store) address() string { return strings.TrimPrefix(s.URL, "http://") }

// put writes a row for the operator, an executor or another writer.
func (s *store) put(table, part, key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ver++
	s.apply(storeRow{Table: table, Part: part, Key: key, Value: value, Ver: s.ver})
}

// apply stores or deletes a row. The lock must be held.
func (s *store) apply(r storeRow) {
	r.at = time.Now()
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Ver
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// limitOf returns the limit that a transaction breaks, or an empty string.
func limitOf(tx storeTransaction, size int64) string {
	if len(tx.ExpectedRevision)+len(tx.Put)+len(tx.Remove) > maxEntries {
		return "more than 100 entries"
	}
	if size > maxTransaction {
		return "more than 1 MB"
	}
	for _, row := range tx.Put {
		if len(row.Value) > rowBytes {
			return "row " + row.Table + "/" + row.Part + "/" + row.Key + " has " + strconv.Itoa(len(row.Value)) + " bytes, more than rowBytes"
		}
	}
	return ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx storeTransaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBody)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(tx.Put, tx.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "not yours to write", http.StatusForbidden)
			return
		}
	}
	if limit := limitOf(tx, r.ContentLength); limit != "" {
		s.countRefused(limit)
		http.Error(w, limit, http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, c := range tx.ExpectedRevision {
		if s.rows[c.id()].Ver != c.Ver {
			s.reply(w, http.StatusPreconditionFailed, []storeRow{s.rows[c.id()]}, false)
			return
		}
	}
	s.ver++
	for _, row := range tx.Put {
		row.Ver = s.ver
		s.apply(row)
	}
	for _, row := range tx.Remove {
		row.Ver, row.Deleted, row.Value = s.ver, true, nil
		s.apply(row)
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) countRefused(limit string) {
	s.lock.Lock()
	s.refused++
	refused := s.refused
	s.lock.Unlock()
	if refused <= 20 || refused%50 == 0 {
		s.record.write("store refuses transaction (number %d): %s", refused, limit)
	}
}

// reply sends a response. The lock must be held.
func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.begun).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (!q.Has("to") || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	count, size := 0, 0
	for count < len(rows) && count < limit && (count == 0 || size+len(rows[count].Value) <= maxPage) {
		size += len(rows[count].Value)
		count++
	}
	s.reply(w, http.StatusOK, rows[:count], count < len(rows))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for expired := false; ; {
		s.lock.Lock()
		if after < s.dropped {
			s.lock.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.changesOf(q.Get("table"), after)
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows, false)
			s.lock.Unlock()
			return
		}
		changed := s.changed
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

// changesOf returns the changes of a table after a version. The lock must be held.
func (s *store) changesOf(table string, after int64) []storeRow {
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(r storeRow, ver int64) int { return int(r.Ver - ver) })
	var rows []storeRow
	for _, row := range s.history[first:] {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows
}
