// Package platform is a stand-in for the platform's table service, object store and
// membership list, for tests and the demo. It keeps all data in memory.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Paths of the stand-in's own API, in addition to those of the platform.
const (
	// FaultsPath gets (GET) and sets (PUT) the Faults.
	FaultsPath = "/faults"
	// JournalPath gets the JournalEntry of each committed transaction.
	JournalPath = "/journal"
	// CountersPath gets the Counters.
	CountersPath = "/counters"
)

// readHeaderTimeout bounds the time in which a caller must send a request's header.
const readHeaderTimeout = 10 * time.Second

// Settings are the settings of a Server. The zero value has the defaults.
type Settings struct {
	// AnnounceTerm is the time after an announcement for which an instance stays listed;
	// 0 means membership.AnnounceTerm.
	AnnounceTerm time.Duration
}

// JournalEntry records a committed transaction.
type JournalEntry struct {
	Time        time.Time
	Transaction table.Transaction
	Result      table.Result
}

// Server is the stand-in platform. It is an http.Handler.
type Server struct {
	clock     clockwork.Clock
	mux       *http.ServeMux
	table     table.Memory
	objects   objectStore
	instances *membershipList
	requests  requestCounters
	closed    chan struct{}
	closeOnce sync.Once

	mutex   sync.Mutex
	faults  Faults
	journal []JournalEntry
}

// New returns a Server that has no data and no faults.
func New(clock clockwork.Clock, settings Settings) *Server {
	term := settings.AnnounceTerm
	if term == 0 {
		term = membership.AnnounceTerm
	}
	s := &Server{
		clock:     clock,
		mux:       http.NewServeMux(),
		instances: newMembershipList(clock.Now(), term),
		requests:  requestCounters{clock: clock},
		closed:    make(chan struct{}),
	}
	s.table.OnCommit = s.recordTransaction
	s.registerRoutes()
	return s
}

// ServeHTTP serves the platform's protocol and the stand-in's own API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Object keys may contain any bytes. The mux would redirect their paths to a
	// cleaned form.
	if key, ok := objectKey(r); ok {
		s.serveObject(w, r, key)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Serve serves requests on a listener until ctx ends. It then closes the listener, all
// connections and the Server.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		s.Close()
		return server.Close()
	})
	return group.Wait()
}

// Close ends the delays of waiting requests, which are then refused.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
}

// Journal returns the committed transactions in commit order.
func (s *Server) Journal() []JournalEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.journal[:len(s.journal):len(s.journal)]
}

// Table returns the table of the table service, without faults and counters.
func (s *Server) Table() table.Store {
	return &s.table
}

func (s *Server) recordTransaction(tx table.Transaction, result table.Result) {
	entry := JournalEntry{Time: s.clock.Now(), Transaction: tx, Result: result}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.journal = append(s.journal, entry)
}
