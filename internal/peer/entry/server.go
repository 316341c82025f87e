package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
)

// ServerOptions configures a Server. Zero values select the defaults given below.
type ServerOptions struct {
	// MaxConnections limits the open connections; 64 by default, which is several
	// times the number of entry instances in all availability zones.
	MaxConnections int
	// MaxCalls limits the calls in progress on all connections; 256 by default.
	MaxCalls int
	// CallTimeout limits the run time of a handler; 10 s by default.
	CallTimeout time.Duration
	// IdleTimeout is how long a connection stays open without input, where pings count
	// as input; 10 s by default.
	IdleTimeout time.Duration
	// Budget is for the bytes of calls that arrive or are handled, and of answers that wait to be
	// sent. Nil means no bound beyond those above.
	Budget *intake.Budget
	// Clock is the system clock by default.
	Clock clockwork.Clock
	// Counter may be nil.
	Counter Counter
}

// handler implements a method; it decodes the params itself.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server handles calls from other entry instances.
type Server struct {
	options ServerOptions
	calls   chan struct{}
	group   sync.WaitGroup

	lock        sync.Mutex
	methods     map[string]handler
	connections map[*stream]struct{}
}

// NewServer returns a Server without methods. Use Handle to register them.
func NewServer(options ServerOptions) *Server {
	options.MaxConnections = orDefault(options.MaxConnections, 64)
	options.MaxCalls = orDefault(options.MaxCalls, 256)
	options.CallTimeout = orDefault(options.CallTimeout, 10*time.Second)
	options.IdleTimeout = orDefault(options.IdleTimeout, 10*time.Second)
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	return &Server{
		options: options,
		calls:   make(chan struct{}, options.MaxCalls),
		methods: map[string]handler{},

		connections: map[*stream]struct{}{},
	}
}

// Handle registers h as the handler of a method. The params are decoded strictly:
// unknown fields and trailing data are rejected with CodeInvalidParams. An Error that
// h returns is sent to the caller unchanged, an exceeded deadline becomes CodeDeadline
// and any other error CodeInternal. Handle panics if the method is already registered.
func Handle[Req, Resp any](s *Server, method string, h func(ctx context.Context, req Req) (Resp, error)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, registered := s.methods[method]; registered || method == pingMethod {
		panic(fmt.Sprintf("entry: method %q is registered twice", method))
	}
	s.methods[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var req Req
		if err := decodeStrict(params, &req); err != nil {
			count(s.options.Counter, CountRefusedParams)
			return nil, Errorf(CodeInvalidParams, "params of %s: %v", method, err)
		}
		return h(ctx, req)
	}
}

// Serve accepts connections until ctx ends, then closes the listener and all
// connections, waits for the handlers and returns nil. It returns an error if the
// listener keeps failing.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.group.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	failures := 0
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			failures = 0
			s.ServeConnection(ctx, connection)
			continue
		}
		// Accept fails temporarily while the process has no free file descriptors.
		count(s.options.Counter, CountAcceptsFailed)
		failures++
		if failures > maxAcceptFailures {
			return fmt.Errorf("entry: accept: %w", err)
		}
		select {
		case <-s.options.Clock.After(backoff(failures, acceptBackoffBase, time.Second)):
		case <-ctx.Done():
			return nil
		}
	}
}

// ServeConnection serves a connection in the background until it is closed or ctx
// ends. If it exceeds MaxConnections, the oldest connection that hasn't sent a message is closed
// immediately, or else the new one.
func (s *Server) ServeConnection(ctx context.Context, connection net.Conn) {
	stream := newStream(connection, s.options.Counter, s.options.IdleTimeout)
	stream.limitMemory(s.options.Budget, s.options.Clock)
	reserved, replaced := s.reserveConnection(stream)
	if replaced != nil {
		count(s.options.Counter, CountClosedUnused)
		_ = replaced.Close()
		// It has nothing to send. Its descriptor is free once this returns.
		_ = replaced.connection.Close()
	}
	if !reserved {
		count(s.options.Counter, CountRefusedConnection)
		_ = connection.Close()
		return
	}
	s.group.Go(stream.writeLoop)
	s.group.Go(func() {
		// jsonrpc2's DisconnectNotify would be too early: its reader may still be
		// starting a call at that point.
		<-stream.readEnded
		s.lock.Lock()
		defer s.lock.Unlock()
		delete(s.connections, stream)
	})
	logger := jsonrpc2.SetLogger(countingLogger{s.options.Counter})
	jsonrpc2.NewConn(ctx, stream, (*connectionHandler)(s), logger)
}

// reserveConnection adds a new connection, in place of the one that it returns, if any, which the caller
// closes. It reports false if the limit is reached and each connection has sent a message.
func (s *Server) reserveConnection(added *stream) (reserved bool, replaced *stream) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.connections) >= s.options.MaxConnections {
		replaced = s.oldestUnused()
		if replaced == nil {
			return false, nil
		}
		delete(s.connections, replaced)
	}
	s.connections[added] = struct{}{}
	return true, replaced
}

// oldestUnused returns the oldest connection that hasn't sent a message. The lock must be held.
func (s *Server) oldestUnused() *stream {
	var oldest *stream
	for c := range s.connections {
		if !c.used.Load() && (oldest == nil || c.openedAt.Before(oldest.openedAt)) {
			oldest = c
		}
	}
	return oldest
}

// connectionHandler implements jsonrpc2.Handler for a Server without adding a method
// to the Server's API.
type connectionHandler Server

// Handle implements jsonrpc2.Handler. It starts the call in the background.
func (h *connectionHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	s := (*Server)(h)
	if request.Notif || request.Meta != nil || len(request.ExtraFields) > 0 {
		count(s.options.Counter, CountRefusedMalformed)
		s.replyError(ctx, rpc, request, Errorf(CodeInvalidRequest, "a call has exactly a version, an id, a method and params"))
		return
	}
	if request.Method == pingMethod {
		s.reply(ctx, rpc, request, struct{}{})
		return
	}
	s.lock.Lock()
	method, found := s.methods[request.Method]
	s.lock.Unlock()
	if !found {
		count(s.options.Counter, CountRefusedMethod)
		s.replyError(ctx, rpc, request, Errorf(CodeUnknownMethod, "unknown method %.64q", request.Method))
		return
	}
	select {
	case s.calls <- struct{}{}:
	default:
		count(s.options.Counter, CountRefusedBusy)
		s.replyError(ctx, rpc, request, Errorf(CodeBusy, "%d calls are in progress", cap(s.calls)))
		return
	}
	lease := s.options.Budget.NewLease(func() {})
	if err := lease.Take(s.options.Clock.Now(), paramsBytes(request)); err != nil {
		<-s.calls
		count(s.options.Counter, CountRefusedMemory)
		s.replyError(ctx, rpc, request, Errorf(CodeBusy, "%v", err))
		return
	}
	s.group.Go(func() {
		defer func() { <-s.calls }()
		defer lease.Release()
		s.runCall(ctx, rpc, request, method)
	})
}

func paramsBytes(request *jsonrpc2.Request) intake.Bytes {
	if request.Params == nil {
		return 0
	}
	return intake.Bytes(len(*request.Params))
}

// runCall runs the handler of a call and sends the response.
func (s *Server) runCall(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, method handler) {
	count(s.options.Counter, CountCallsServed)
	callCtx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.CallTimeout)
	defer cancel()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := method(callCtx, params)
	if err != nil {
		s.replyError(ctx, rpc, request, err)
		return
	}
	s.reply(ctx, rpc, request, result)
}

// reply sends the result of a call, or an error if the result cannot be sent.
func (s *Server) reply(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if err := rpc.Reply(ctx, request.ID, result); err != nil {
		s.replyError(ctx, rpc, request, err)
	}
}

// replyError responds to a call with an error. If that fails too it closes the
// connection, so that the caller doesn't wait for a response.
func (s *Server) replyError(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, callErr error) {
	if request.Notif {
		return
	}
	if err := rpc.ReplyWithError(ctx, request.ID, toWireError(callErr)); err != nil {
		_ = rpc.Close()
	}
}
