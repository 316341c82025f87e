// Package platform stands in for the platform's table service, object store and
// membership list in tests and in the demo. It keeps everything in memory.
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

// Paths that the stand-in has in addition to those of the platform.
const (
	// FaultsPath takes GET and PUT of Faults.
	FaultsPath = "/faults"
	// JournalPath takes GET and answers with the JournalEntry of each transaction.
	JournalPath = "/journal"
	// CountersPath takes GET and answers with Counters.
	CountersPath = "/counters"
)

// headerTimeout bounds the time that a caller takes to send a request's header.
const headerTimeout = 10 * time.Second

// Settings of a Server. The zero value has the defaults.
type Settings struct {
	// AnnounceTerm is how long an announcement lists an instance; 0 stands for
	// membership.AnnounceTerm.
	AnnounceTerm time.Duration
}

// JournalEntry is a committed transaction.
type JournalEntry struct {
	Time        time.Time
	Transaction table.Transaction
	Result      table.Result
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	clock   clockwork.Clock
	mux     *http.ServeMux
	table   table.Memory
	objects objects
	list    *list
	usage   usage
	closed  chan struct{}
	close   sync.Once

	mutex   sync.Mutex
	faults  Faults
	journal []JournalEntry
}

// New returns a Server without data and faults.
func New(clock clockwork.Clock, settings Settings) *Server {
	term := settings.AnnounceTerm
	if term == 0 {
		term = membership.AnnounceTerm
	}
	s := &Server{
		clock:  clock,
		mux:    http.NewServeMux(),
		list:   newList(clock.Now(), term),
		usage:  usage{clock: clock},
		closed: make(chan struct{}),
	}
	s.table.OnCommit = s.record
	s.routes()
	return s
}

// ServeHTTP answers a request of the platform protocol or for a fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Object keys may hold any bytes, and the mux would clean their paths.
	if key, ok := objectKey(r); ok {
		s.serveObject(w, r, key)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// Serve answers on a listener until ctx ends, and then closes it, all connections
// and the Server.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
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

// Close ends the delays of requests; they are then refused.
func (s *Server) Close() {
	s.close.Do(func() { close(s.closed) })
}

// Journal returns every committed transaction in commit order.
func (s *Server) Journal() []JournalEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.journal[:len(s.journal):len(s.journal)]
}

// Table returns the table behind the service, free of faults.
func (s *Server) Table() table.Store {
	return &s.table
}

func (s *Server) record(tx table.Transaction, result table.Result) {
	entry := JournalEntry{Time: s.clock.Now(), Transaction: tx, Result: result}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.journal = append(s.journal, entry)
}
