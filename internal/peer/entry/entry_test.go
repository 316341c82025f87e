package entry

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/intake"
)

const testTimeout = 5 * time.Second

type recordingCounter struct {
	lock   sync.Mutex
	values map[string]int64
}

func (c *recordingCounter) Add(name string, delta int64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.values == nil {
		c.values = map[string]int64{}
	}
	c.values[name] += delta
}

func (c *recordingCounter) value(name string) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.values[name]
}

type echoMessage struct{ Value int }

// newTestServer returns a server with test methods, and a counter of the calls that
// reached their handlers.
func newTestServer(options ServerOptions) (*Server, *recordingCounter) {
	handlerCalls := &recordingCounter{}
	server := NewServer(options)
	Handle(server, "Test.Echo", func(_ context.Context, req echoMessage) (echoMessage, error) {
		handlerCalls.Add("Echo", 1)
		if req.Value < 0 {
			return echoMessage{}, fmt.Errorf("wrapped: %w", &Error{Code: CodeStaleEpoch, Message: "stale", Data: []byte(`{"Epoch":7}`)})
		}
		return req, nil
	})
	Handle(server, "Test.Block", func(ctx context.Context, _ echoMessage) (echoMessage, error) {
		handlerCalls.Add("Block", 1)
		<-ctx.Done()
		return echoMessage{}, ctx.Err()
	})
	Handle(server, "Test.Large", func(context.Context, echoMessage) (string, error) {
		return strings.Repeat("x", MaxMessageBytes), nil
	})
	return server, handlerCalls
}

// listen runs the server on a loopback address until the spec ends.
func listen(server *Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, listener) })
	DeferCleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

func newTestClient(options ClientOptions) *Client {
	client := NewClient(options)
	DeferCleanup(client.Close)
	return client
}

// sendRawMessage sends a message with the given length prefix and returns the response.
func sendRawMessage(server *Server, size uint64, body string) string {
	clientEnd, serverEnd := net.Pipe()
	server.ServeConnection(context.Background(), serverEnd)
	Expect(clientEnd.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
	var group sync.WaitGroup
	defer group.Wait()
	defer clientEnd.Close()
	group.Go(func() { _, _ = clientEnd.Write(append(binary.AppendUvarint(nil, size), body...)) })
	reader := bufio.NewReader(clientEnd)
	length, err := binary.ReadUvarint(reader)
	Expect(err).NotTo(HaveOccurred())
	answer := make([]byte, length)
	_, err = io.ReadFull(reader, answer)
	Expect(err).NotTo(HaveOccurred())
	return string(answer)
}

var _ = Describe("Call", func() {
	ctx := context.Background()

	// Guards against delivering a response to the wrong caller.
	It("returns the matching response to each concurrent caller", func() {
		server, _ := newTestServer(ServerOptions{})
		address, client := listen(server), newTestClient(ClientOptions{})
		var group sync.WaitGroup
		failures := make(chan error, 200)
		for i := range cap(failures) {
			group.Go(func() {
				got, err := Call[echoMessage, echoMessage](ctx, client, address, "Test.Echo", echoMessage{i})
				if err == nil && got.Value != i {
					err = fmt.Errorf("sent %d, got %d", i, got.Value)
				}
				failures <- err
			})
		}
		group.Wait()
		close(failures)
		for err := range failures {
			Expect(err).NotTo(HaveOccurred())
		}
	})

	// Guards against errors that lose their type in transmission.
	It("preserves the code and data of an error", func() {
		server, _ := newTestServer(ServerOptions{})
		address, client := listen(server), newTestClient(ClientOptions{})
		_, err := Call[echoMessage, echoMessage](ctx, client, address, "Test.Echo", echoMessage{-1})
		var callErr *Error
		Expect(errors.As(err, &callErr)).To(BeTrue())
		Expect(*callErr).To(Equal(Error{Code: CodeStaleEpoch, Message: "stale", Data: []byte(`{"Epoch":7}`)}))
		_, err = Call[echoMessage, string](ctx, client, address, "Test.Large", echoMessage{})
		Expect(CodeOf(err)).To(Equal(CodeTooLarge))
		_, err = Call[string, echoMessage](ctx, client, address, "Test.Echo", strings.Repeat("x", MaxMessageBytes))
		Expect(CodeOf(err)).To(Equal(CodeTooLarge))
		Expect(err).To(MatchError(ErrNotSent))
	})

	// Guards against using a connection that has stopped responding.
	It("closes an unresponsive connection and dials again after a backoff", func() {
		clock, counter := clockwork.NewFakeClock(), &recordingCounter{}
		server, _ := newTestServer(ServerOptions{})
		pipes := make(chan net.Conn, 2)
		unresponsive, _ := net.Pipe()
		working, serverEnd := net.Pipe()
		server.ServeConnection(ctx, serverEnd)
		pipes <- unresponsive
		pipes <- working
		client := newTestClient(ClientOptions{
			Clock: clock, Counter: counter, CallTimeout: 10 * time.Hour, BackoffBase: time.Hour, BackoffLimit: time.Hour,
			Dial: func(context.Context, string) (net.Conn, error) { return <-pipes, nil },
		})
		firstResult := make(chan error, 1)
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() {
			_, err := Call[echoMessage, echoMessage](ctx, client, "peer", "Test.Echo", echoMessage{1})
			firstResult <- err
		})
		Eventually(func() int64 {
			clock.Advance(500 * time.Millisecond)
			return counter.value(CountConnectionsSilent)
		}, testTimeout).Should(BeEquivalentTo(1))
		var err error
		Eventually(firstResult, testTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(ErrNoResponse))
		_, err = Call[echoMessage, echoMessage](ctx, client, "peer", "Test.Echo", echoMessage{2})
		Expect(err).To(MatchError(ErrNotSent))
		clock.Advance(time.Hour)
		Expect(Call[echoMessage, echoMessage](ctx, client, "peer", "Test.Echo", echoMessage{3})).To(Equal(echoMessage{3}))
	})

	// Guards against callers that wait for a dial without a time limit.
	It("stops waiting for a dial when its context ends", func() {
		client := newTestClient(ClientOptions{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		callCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := Call[echoMessage, echoMessage](callCtx, client, "peer", "Test.Echo", echoMessage{1})
		Expect(err).To(MatchError(ErrNotSent))
	})
})

var _ = Describe("Server", func() {
	// Guards against invalid messages that reach a handler or aren't counted.
	DescribeTable("refuses", func(size int, body string, code Code, counterName string) {
		counter := &recordingCounter{}
		server, handlerCalls := newTestServer(ServerOptions{Counter: counter})
		if size == 0 {
			size = len(body)
		}
		answer := sendRawMessage(server, uint64(size), body)
		Expect(answer).To(ContainSubstring(fmt.Sprintf(`"code":%d`, code)))
		Expect(counter.value(counterName)).To(BeEquivalentTo(1))
		Expect(handlerCalls.value("Echo")).To(BeZero())
	},
		Entry("unknown method", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.None","params":{}}`, CodeUnknownMethod, CountRefusedMethod),
		Entry("unknown field in params", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{"Valeu":1}}`, CodeInvalidParams, CountRefusedParams),
		Entry("wrong type in params", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{"Value":"1"}}`, CodeInvalidParams, CountRefusedParams),
		Entry("missing params", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo"}`, CodeInvalidParams, CountRefusedParams),
		Entry("unknown field beside params", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{},"x":1}`, CodeInvalidRequest, CountRefusedMalformed),
		Entry("malformed JSON", 0, `{"jsonrpc"`, CodeParse, CountRefusedMalformed),
		Entry("oversized message", MaxMessageBytes+1, strings.Repeat("x", MaxMessageBytes+1), CodeTooLarge, CountRefusedTooLarge),
	)

	// Guards against an unlimited number of concurrent calls and connections.
	It("limits concurrent calls and connections", func() {
		counter := &recordingCounter{}
		server, handlerCalls := newTestServer(ServerOptions{MaxCalls: 1, MaxConnections: 1, CallTimeout: time.Minute, Counter: counter})
		address, client := listen(server), newTestClient(ClientOptions{Counter: counter})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _, _ = Call[echoMessage, echoMessage](ctx, client, address, "Test.Block", echoMessage{}) })
		defer group.Wait()
		defer cancel()
		Eventually(handlerCalls.value, testTimeout).WithArguments("Block").Should(BeEquivalentTo(1))
		_, err := Call[echoMessage, echoMessage](ctx, client, address, "Test.Echo", echoMessage{1})
		Expect(CodeOf(err)).To(Equal(CodeBusy))
		_, err = Call[echoMessage, echoMessage](ctx, newTestClient(ClientOptions{}), address, "Test.Echo", echoMessage{1})
		Expect(err).To(HaveOccurred())
		Expect(counter.value(CountRefusedConnection)).To(BeEquivalentTo(1))
	})

	// Guards against peers that send messages and never finish them.
	It("takes memory as a message arrives, and ends a message that doesn't when another needs its memory", func() {
		counter, clock, budget := &recordingCounter{}, clockwork.NewFakeClock(), intake.NewBudget(256<<10)
		server, _ := newTestServer(ServerOptions{Counter: counter, Budget: budget, Clock: clock, IdleTimeout: time.Minute})
		address := listen(server)
		open := func(arrived int) net.Conn {
			connection, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = connection.Close() })
			Expect(connection.SetDeadline(time.Now().Add(testTimeout))).To(Succeed())
			_, err = connection.Write(append(binary.AppendUvarint(nil, MaxMessageBytes), make([]byte, arrived)...))
			Expect(err).NotTo(HaveOccurred())
			return connection
		}
		first := open(33 << 10)
		Eventually(budget.Used, testTimeout).Should(Equal(intake.Bytes(64 << 10)))
		clock.Advance(time.Second)
		second := open(65 << 10)
		_, err := first.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "the first connection is closed")
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		Eventually(budget.Used, testTimeout).Should(Equal(intake.Bytes(128 << 10)))
		Expect(second.Close()).To(Succeed())
		Eventually(budget.Used, testTimeout).Should(BeZero())
	})

	// Guards against a connection that locks up: the memory for an answer ends the message that arrives on the
	// same connection.
	It("queues an answer that needs the memory of a message arriving on its connection", func() {
		server, client := net.Pipe()
		DeferCleanup(client.Close)
		clock, budget := clockwork.NewFakeClock(), intake.NewBudget(64<<10)
		s := newStream(server, nil, 0)
		s.limitMemory(budget, clock)
		var group sync.WaitGroup
		group.Go(func() { _, _ = s.readBody(60 << 10) })
		group.Go(func() { _, _ = client.Write(make([]byte, 33<<10)) })
		DeferCleanup(group.Wait)
		DeferCleanup(server.Close)
		Eventually(budget.Used, testTimeout).Should(Equal(intake.Bytes(60 << 10)))
		clock.Advance(2 * time.Second)
		queued := make(chan error, 1)
		group.Go(func() { queued <- s.WriteObject(strings.Repeat("x", 20<<10)) })
		Eventually(queued, testTimeout).Should(Receive())
	})

	// Guards against the loss of all calls of a connection whose message had just arrived.
	It("keeps a connection whose message was ended at the moment in which it had arrived", func() {
		server, client := net.Pipe()
		DeferCleanup(client.Close)
		stream := newStream(server, nil, 0)
		stream.limitMemory(intake.NewBudget(64<<10), clockwork.NewFakeClock())
		var group sync.WaitGroup
		DeferCleanup(group.Wait)
		group.Go(func() { _, _ = client.Write([]byte("abc")) })
		Expect(stream.readBody(3)).To(Equal([]byte("abc")))
		stream.interruptRead()
		group.Go(func() { _, _ = client.Write([]byte("def")) })
		Expect(stream.readBody(3)).To(Equal([]byte("def")))
	})

	// Guards against connections without messages that keep other instances out.
	It("closes the oldest connection that hasn't sent a message when there are too many", func() {
		counter := &recordingCounter{}
		server, _ := newTestServer(ServerOptions{MaxConnections: 2, Counter: counter})
		address := listen(server)
		for range 2 {
			connection, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = connection.Close() })
		}
		Expect(Call[echoMessage, echoMessage](context.Background(), newTestClient(ClientOptions{}), address, "Test.Echo", echoMessage{1})).To(Equal(echoMessage{1}))
		Expect(counter.value(CountClosedUnused)).To(BeEquivalentTo(1))
	})

	// Guards against writes that block because the peer does not read.
	It("fails a write when the peer does not read and the queue is full", func() {
		unread, _ := net.Pipe()
		stream := newStream(unread, nil, 0)
		for range maxQueuedBytes / (MaxMessageBytes / 2) {
			_ = stream.WriteObject(strings.Repeat("x", MaxMessageBytes/2))
		}
		Expect(stream.WriteObject(strings.Repeat("x", MaxMessageBytes/2))).To(MatchError(errWriteQueueFull))
	})
})
