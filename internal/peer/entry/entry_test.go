package entry

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testBound = 5 * time.Second

type counts struct {
	lock   sync.Mutex
	values map[string]int64
}

func (c *counts) Add(name string, delta int64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.values == nil {
		c.values = map[string]int64{}
	}
	c.values[name] += delta
}

func (c *counts) of(name string) int64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.values[name]
}

type number struct{ Value int }

// testServer echoes numbers and counts in state how often its handler ran.
func testServer(options ServerOptions) (*Server, *counts) {
	state := &counts{}
	server := NewServer(options)
	Handle(server, "Test.Echo", func(_ context.Context, req number) (number, error) {
		state.Add("Echo", 1)
		if req.Value < 0 {
			return number{}, fmt.Errorf("wrapped: %w", &Error{Code: CodeStaleEpoch, Message: "stale", Data: []byte(`{"Epoch":7}`)})
		}
		return req, nil
	})
	Handle(server, "Test.Block", func(ctx context.Context, _ number) (number, error) {
		state.Add("Block", 1)
		<-ctx.Done()
		return number{}, ctx.Err()
	})
	Handle(server, "Test.Large", func(context.Context, number) (string, error) {
		return strings.Repeat("x", MaxMessage), nil
	})
	return server, state
}

// listen serves on a loopback address until the spec ends.
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

// exchange sends one raw message and returns what comes back until the end.
func exchange(server *Server, size uint64, body string) string {
	near, far := net.Pipe()
	server.ServeConnection(context.Background(), far)
	Expect(near.SetDeadline(time.Now().Add(testBound))).To(Succeed())
	var group sync.WaitGroup
	defer group.Wait()
	defer near.Close()
	group.Go(func() { _, _ = near.Write(append(binary.AppendUvarint(nil, size), body...)) })
	reader := bufio.NewReader(near)
	length, err := binary.ReadUvarint(reader)
	Expect(err).NotTo(HaveOccurred())
	answer := make([]byte, length)
	_, err = io.ReadFull(reader, answer)
	Expect(err).NotTo(HaveOccurred())
	return string(answer)
}

var _ = Describe("Call", func() {
	ctx := context.Background()

	// Guards against answers that reach another caller.
	It("returns to each of many callers its own answer", func() {
		server, _ := testServer(ServerOptions{})
		address, client := listen(server), newTestClient(ClientOptions{})
		var group sync.WaitGroup
		failures := make(chan error, 200)
		for i := range cap(failures) {
			group.Go(func() {
				got, err := Call[number, number](ctx, client, address, "Test.Echo", number{i})
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

	// Guards against refusals that lose their type on the wire.
	It("keeps the code and data of an error", func() {
		server, _ := testServer(ServerOptions{})
		address, client := listen(server), newTestClient(ClientOptions{})
		_, err := Call[number, number](ctx, client, address, "Test.Echo", number{-1})
		var typed *Error
		Expect(errors.As(err, &typed)).To(BeTrue())
		Expect(*typed).To(Equal(Error{Code: CodeStaleEpoch, Message: "stale", Data: []byte(`{"Epoch":7}`)}))
		_, err = Call[number, string](ctx, client, address, "Test.Large", number{})
		Expect(CodeOf(err)).To(Equal(CodeTooLarge))
		_, err = Call[string, number](ctx, client, address, "Test.Echo", strings.Repeat("x", MaxMessage))
		Expect(CodeOf(err)).To(Equal(CodeTooLarge))
		Expect(err).To(MatchError(ErrNotSent))
	})

	// Guards against a connection that stays in use after it went silent.
	It("retires a silent connection and dials again after a backoff", func() {
		clock, counter := clockwork.NewFakeClock(), &counts{}
		server, _ := testServer(ServerOptions{})
		pipes := make(chan net.Conn, 2)
		silent, _ := net.Pipe()
		working, far := net.Pipe()
		server.ServeConnection(ctx, far)
		pipes <- silent
		pipes <- working
		client := newTestClient(ClientOptions{
			Clock: clock, Counter: counter, CallTimeout: 10 * time.Hour, BackoffBase: time.Hour, BackoffLimit: time.Hour,
			Dial: func(context.Context, string) (net.Conn, error) { return <-pipes, nil },
		})
		first := make(chan error, 1)
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() {
			_, err := Call[number, number](ctx, client, "peer", "Test.Echo", number{1})
			first <- err
		})
		Eventually(func() int64 {
			clock.Advance(500 * time.Millisecond)
			return counter.of(CountConnectionsSilent)
		}, testBound).Should(BeEquivalentTo(1))
		var err error
		Eventually(first, testBound).Should(Receive(&err))
		Expect(err).To(MatchError(ErrNoAnswer))
		_, err = Call[number, number](ctx, client, "peer", "Test.Echo", number{2})
		Expect(err).To(MatchError(ErrNotSent))
		clock.Advance(time.Hour)
		Expect(Call[number, number](ctx, client, "peer", "Test.Echo", number{3})).To(Equal(number{3}))
	})

	// Guards against callers that wait for a dial without a bound.
	It("does not wait for a dial longer than its context", func() {
		client := newTestClient(ClientOptions{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		bounded, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := Call[number, number](bounded, client, "peer", "Test.Echo", number{1})
		Expect(err).To(MatchError(ErrNotSent))
	})
})

var _ = Describe("Server", func() {
	// Guards against unusable messages that reach a handler or go uncounted.
	DescribeTable("refuses", func(size int, body string, code Code, counted string) {
		counter := &counts{}
		server, state := testServer(ServerOptions{Counter: counter})
		if size == 0 {
			size = len(body)
		}
		answer := exchange(server, uint64(size), body)
		Expect(answer).To(ContainSubstring(fmt.Sprintf(`"code":%d`, code)))
		Expect(counter.of(counted)).To(BeEquivalentTo(1))
		Expect(state.of("Echo")).To(BeZero())
	},
		Entry("an unknown method", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.None","params":{}}`, CodeUnknownMethod, CountRefusedMethod),
		Entry("an unknown field", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{"Valeu":1}}`, CodeInvalidParams, CountRefusedParams),
		Entry("params of another type", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{"Value":"1"}}`, CodeInvalidParams, CountRefusedParams),
		Entry("absent params", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo"}`, CodeInvalidParams, CountRefusedParams),
		Entry("an unknown envelope field", 0, `{"jsonrpc":"2.0","id":1,"method":"Test.Echo","params":{},"x":1}`, CodeInvalidRequest, CountRefusedMalformed),
		Entry("a message that is not JSON", 0, `{"jsonrpc"`, CodeParse, CountRefusedMalformed),
		Entry("an oversized message", MaxMessage+1, strings.Repeat("x", MaxMessage+1), CodeTooLarge, CountRefusedTooLarge),
	)

	// Guards against unbounded work and connections.
	It("bounds calls and connections", func() {
		counter := &counts{}
		server, state := testServer(ServerOptions{MaxCalls: 1, MaxConnections: 1, CallTimeout: time.Minute, Counter: counter})
		address, client := listen(server), newTestClient(ClientOptions{Counter: counter})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _, _ = Call[number, number](ctx, client, address, "Test.Block", number{}) })
		defer group.Wait()
		defer cancel()
		Eventually(state.of, testBound).WithArguments("Block").Should(BeEquivalentTo(1))
		_, err := Call[number, number](ctx, client, address, "Test.Echo", number{1})
		Expect(CodeOf(err)).To(Equal(CodeBusy))
		_, err = Call[number, number](ctx, newTestClient(ClientOptions{}), address, "Test.Echo", number{1})
		Expect(err).To(HaveOccurred())
		Expect(counter.of(CountRefusedConnection)).To(BeEquivalentTo(1))
	})

	// Guards against writes that block behind a peer that does not read.
	It("fails writes when the peer does not read", func() {
		near, _ := net.Pipe()
		stream := newStream(near, nil, 0)
		for range maxQueued / (MaxMessage / 2) {
			_ = stream.WriteObject(strings.Repeat("x", MaxMessage/2))
		}
		Expect(stream.WriteObject(strings.Repeat("x", MaxMessage/2))).To(MatchError(errQueueFull))
	})
})
