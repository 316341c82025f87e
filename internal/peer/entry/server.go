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
)

// ServerOptions are the limits and dependencies of a Server. Zero values stand for
// the defaults that are named here.
type ServerOptions struct {
	// MaxConnections is the number of open connections; 64 by default, several times
	// the entry instances of all availability zones.
	MaxConnections int
	// MaxCalls is the number of calls in progress over all connections; 256 by default.
	MaxCalls int
	// CallTimeout bounds one handler; 10 s by default.
	CallTimeout time.Duration
	// IdleTimeout closes a connection without input, pings included; 10 s by default.
	IdleTimeout time.Duration
	// Clock is the real clock by default.
	Clock clockwork.Clock
	// Counter may be nil.
	Counter Counter
}

// handler runs one method on undecoded params.
type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the calls of other entry instances.
type Server struct {
	options ServerOptions
	calls   chan struct{}
	group   sync.WaitGroup

	lock        sync.Mutex
	methods     map[string]handler
	connections int
}

// NewServer returns a Server without methods; Handle adds them.
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
	}
}

// Handle registers h for a method. The params are decoded strictly: unknown fields
// and trailing data are refused with CodeInvalidParams. An Error that h returns
// reaches the caller unchanged; any other error becomes CodeInternal. Handle panics
// when the method is already registered.
func Handle[Req, Resp any](s *Server, method string, h func(ctx context.Context, req Req) (Resp, error)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, taken := s.methods[method]; taken || method == pingMethod {
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
// connections, waits for the handlers and returns nil. It returns an error when the
// listener fails for good.
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
		// Accept fails for a while when the process is out of file descriptors.
		count(s.options.Counter, CountAcceptsFailed)
		failures++
		if failures > maxAcceptFailures {
			return fmt.Errorf("entry: accept: %w", err)
		}
		select {
		case <-s.options.Clock.After(backoff(failures, acceptBackoff, time.Second)):
		case <-ctx.Done():
			return nil
		}
	}
}

// ServeConnection serves one connection in the background until it or ctx ends. A
// connection over the limit is closed at once.
func (s *Server) ServeConnection(ctx context.Context, connection net.Conn) {
	if !s.admit() {
		count(s.options.Counter, CountRefusedConnection)
		_ = connection.Close()
		return
	}
	stream := newStream(connection, s.options.Counter, s.options.IdleTimeout)
	s.group.Go(stream.write)
	s.group.Go(func() {
		// The disconnect notice of jsonrpc2 comes too early: its reader may still be
		// starting a call.
		<-stream.ended
		s.lock.Lock()
		defer s.lock.Unlock()
		s.connections--
	})
	logger := jsonrpc2.SetLogger(unmatchedLogger{s.options.Counter})
	jsonrpc2.NewConn(ctx, stream, (*connectionHandler)(s), logger)
}

// admit counts a new connection unless the limit is reached.
func (s *Server) admit() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.connections >= s.options.MaxConnections {
		return false
	}
	s.connections++
	return true
}

// connectionHandler is a Server as a jsonrpc2.Handler.
type connectionHandler Server

// Handle implements jsonrpc2.Handler. It starts the call and returns.
func (h *connectionHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	s := (*Server)(h)
	if request.Notif || request.Meta != nil || len(request.ExtraFields) > 0 {
		count(s.options.Counter, CountRefusedMalformed)
		s.fail(ctx, rpc, request, Errorf(CodeInvalidRequest, "a call has exactly a version, an id, a method and params"))
		return
	}
	if request.Method == pingMethod {
		s.reply(ctx, rpc, request, struct{}{})
		return
	}
	s.lock.Lock()
	method, known := s.methods[request.Method]
	s.lock.Unlock()
	if !known {
		count(s.options.Counter, CountRefusedMethod)
		s.fail(ctx, rpc, request, Errorf(CodeUnknownMethod, "unknown method %.64q", request.Method))
		return
	}
	select {
	case s.calls <- struct{}{}:
	default:
		count(s.options.Counter, CountRefusedBusy)
		s.fail(ctx, rpc, request, Errorf(CodeBusy, "%d calls are in progress", cap(s.calls)))
		return
	}
	s.group.Go(func() {
		defer func() { <-s.calls }()
		s.run(ctx, rpc, request, method)
	})
}

// run executes one call and answers it.
func (s *Server) run(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, method handler) {
	count(s.options.Counter, CountCallsServed)
	bounded, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.CallTimeout)
	defer cancel()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	result, err := method(bounded, params)
	if err != nil {
		s.fail(ctx, rpc, request, err)
		return
	}
	s.reply(ctx, rpc, request, result)
}

// reply answers a call, with an error when the result cannot be sent.
func (s *Server) reply(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if err := rpc.Reply(ctx, request.ID, result); err != nil {
		s.fail(ctx, rpc, request, err)
	}
}

// fail answers a call with an error. A connection that cannot take even that is
// closed, so that the caller does not wait.
func (s *Server) fail(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, reason error) {
	if request.Notif {
		return
	}
	if err := rpc.ReplyWithError(ctx, request.ID, wireError(reason)); err != nil {
		_ = rpc.Close()
	}
}
