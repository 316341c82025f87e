package executor_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
	standin "github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var _ = Describe("Client", func() {
	var client *executor.Client

	BeforeEach(func() {
		client = &executor.Client{}
		DeferCleanup(client.CloseIdleConnections)
	})

	get := func(ctx context.Context, server *testServer) ([]byte, error) {
		return sendAndRead(ctx, client, executor.Attempt{Address: server.address, Request: newRequest(http.MethodGet, "/", nil)})
	}

	It("reports a refused connection as not run", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(ctx, &testServer{address: listener.Addr().String()})
		expectFailure(err, executor.NotRun, executor.ReasonDial)
	})

	It("reports a refusal by the executor as not run and reuses the connection", func(ctx SpecContext) {
		server := listen(answerWith("HTTP/1.1 503 No\r\nJacinthtrail-Executor: NotRun\r\nContent-Length: 2\r\n\r\nno", false, nil))
		for range 2 {
			_, err := get(ctx, server)
			expectFailure(err, executor.NotRun, executor.ReasonRefused)
		}
		Expect(server.connections.Load()).To(BeEquivalentTo(1))
	})

	It("does not wait for the body of a refusal", func(ctx SpecContext) {
		server := listen(answerWith("HTTP/1.1 503 No\r\nJacinthtrail-Executor: NotRun\r\nContent-Length: 2\r\n\r\n", true, waitUntilClosed))
		_, err := get(ctx, server)
		expectFailure(err, executor.NotRun, executor.ReasonRefused)
	})

	It("returns any other 503 as a response", func(ctx SpecContext) {
		Expect(get(ctx, listen(answerWith("HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno", true, nil)))).To(BeEquivalentTo("no"))
	})

	Describe("lost connection", func() {
		It("is reported as not run before the request only if nothing was received", func(ctx SpecContext) {
			arrived := make(chan int, 1)
			server := listen(func(c net.Conn, in *bufio.Reader) {
				Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
				content, _ := io.ReadAll(in)
				arrived <- len(content)
			})
			_, err := get(ctx, server)
			if n := <-arrived; n > 0 {
				expectFailure(err, executor.Unknown, executor.ReasonConnectionLost)
			} else {
				expectFailure(err, executor.NotRun, executor.ReasonConnectionLost)
			}
		})

		It("is reported as unknown during the request", func(ctx SpecContext) {
			server := listen(func(_ net.Conn, in *bufio.Reader) { _, _ = in.Discard(10) })
			_, err := sendAndRead(ctx, client, executor.Attempt{
				Address: server.address, Request: newRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, 8<<20))),
			})
			expectFailure(err, executor.Unknown, executor.ReasonConnectionLost)
		})

		It("is reported as unknown after the request", func(ctx SpecContext) {
			_, err := get(ctx, listen(func(_ net.Conn, in *bufio.Reader) { _, _ = readRequest(in) }))
			expectFailure(err, executor.Unknown, executor.ReasonConnectionLost)
		})

		DescribeTable("never causes a request to be sent again, even on a reused connection",
			func(ctx SpecContext, method, header string) {
				var receivedPaths sync.Map
				server := listen(func(c net.Conn, in *bufio.Reader) {
					for n := 0; ; n++ {
						request, err := readRequest(in)
						if err != nil {
							return
						}
						if _, repeated := receivedPaths.LoadOrStore(request.URL.Path, true); repeated {
							receivedPaths.Store("again", true)
						}
						if n > 0 {
							return
						}
						answer := okResponse
						if method == http.MethodHead {
							answer = strings.TrimSuffix(okResponse, "ok")
						}
						_, _ = io.WriteString(c, answer)
					}
				})
				send := func(path string) error {
					request := newRequest(method, path, nil)
					request.Header.Set(header, "k")
					_, err := sendAndRead(ctx, client, executor.Attempt{Address: server.address, Request: request})
					return err
				}
				Expect(send("/1")).To(Succeed())
				expectFailure(send("/2"), executor.Unknown, executor.ReasonConnectionLost)
				Expect(server.connections.Load()).To(BeEquivalentTo(1))
				_, repeated := receivedPaths.Load("again")
				Expect(repeated).To(BeFalse())
			},
			Entry("GET", http.MethodGet, "X-None"),
			Entry("HEAD", http.MethodHead, "X-None"),
			Entry("POST", http.MethodPost, "X-None"),
			Entry("POST with an idempotency key that net/http recognizes", http.MethodPost, "Idempotency-Key"),
		)

		DescribeTable("never makes a truncated response look complete",
			func(ctx SpecContext, text string, reason executor.Reason) {
				_, err := get(ctx, listen(answerWith(text, true, nil)))
				expectFailure(err, executor.Unknown, reason)
			},
			Entry("lost in the header", "HTTP/1.1 200 OK\r\nContent-", executor.ReasonConnectionLost),
			Entry("lost in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", executor.ReasonTruncated),
			Entry("lost in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", executor.ReasonTruncated),
			Entry("lost before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", executor.ReasonTruncated),
			Entry("body without a length or chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", executor.ReasonNoLength),
		)
	})

	DescribeTable("closes an unresponsive connection and uses a new one",
		func(ctx SpecContext, text string, reason executor.Reason) {
			closed := make(chan struct{}, 1)
			server := listen(func(c net.Conn, in *bufio.Reader) {
				request, err := readRequest(in)
				if err == nil && request.URL.Path == "/ok" {
					_, _ = io.WriteString(c, okResponse)
					return
				}
				_, _ = io.WriteString(c, text)
				waitUntilClosed(in)
				closed <- struct{}{}
			})
			_, err := sendAndRead(ctx, client, executor.Attempt{
				Address: server.address, Request: newRequest(http.MethodGet, "/silent", nil),
				FirstByteTimeout: 200 * time.Millisecond, IdleTimeout: 100 * time.Millisecond,
			})
			expectFailure(err, executor.Unknown, reason)
			Eventually(ctx, closed).Should(Receive())
			Expect(sendAndRead(ctx, client, executor.Attempt{Address: server.address, Request: newRequest(http.MethodGet, "/ok", nil)})).
				To(BeEquivalentTo("ok"))
		},
		Entry("unresponsive before the response", "", executor.ReasonFirstByteTimeout),
		Entry("unresponsive in the header", "HTTP/1.1 200 OK\r\n", executor.ReasonFirstByteTimeout),
		Entry("unresponsive in the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", executor.ReasonIdleTimeout),
	)

	It("reports an attempt that got no connection as not run", func(ctx SpecContext) {
		client.Connections = 1
		server := listen(answerWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", true, waitUntilClosed))
		first, err := client.Do(ctx, executor.Attempt{Address: server.address, Request: newRequest(http.MethodGet, "/", nil)})
		Expect(err).NotTo(HaveOccurred())
		defer first.Body.Close()
		_, err = sendAndRead(ctx, client, executor.Attempt{
			Address: server.address, Request: newRequest(http.MethodGet, "/", nil), FirstByteTimeout: 50 * time.Millisecond,
		})
		expectFailure(err, executor.NotRun, executor.ReasonFirstByteTimeout)
	})

	It("distinguishes a failure to read the caller's body from a failure of the executor", func(ctx SpecContext) {
		server := listen(func(_ net.Conn, in *bufio.Reader) { waitUntilClosed(in) })
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<16)), failingReader{})
		_, err := sendAndRead(ctx, client, executor.Attempt{Address: server.address, Request: newRequest(http.MethodPost, "/", body)})
		expectFailure(err, executor.Unknown, executor.ReasonRequestBody)
	})

	// Guards against a request that is sent after it was reported as not run. This can
	// happen if the context ends while the transport is about to write.
	It("never sends a request that it reported as not run, whenever the context ends", func(ctx SpecContext) {
		seed := uint64(GinkgoRandomSeed())
		random := rand.New(rand.NewPCG(seed, 0))
		var mu sync.Mutex
		var received bytes.Buffer
		server := listen(func(_ net.Conn, in *bufio.Reader) {
			content, _ := io.ReadAll(in)
			mu.Lock()
			defer mu.Unlock()
			received.Write(content)
		})
		var notRun []string
		unknown := 0
		for i := range 400 {
			path := fmt.Sprintf("/request-%d-", i)
			attemptCtx, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(600))*time.Microsecond)
			_, err := sendAndRead(attemptCtx, client, executor.Attempt{Address: server.address, Request: newRequest(http.MethodGet, path, nil)})
			cancel()
			if strings.Contains(err.Error(), string(executor.NotRun)) {
				notRun = append(notRun, path)
			} else {
				unknown++
			}
		}
		GinkgoWriter.Printf("seed %d: %d not run, %d unknown\n", seed, len(notRun), unknown)
		client.CloseIdleConnections()
		Eventually(ctx, func() int {
			mu.Lock()
			defer mu.Unlock()
			return bytes.Count(received.Bytes(), []byte("GET /request-"))
		}).Should(BeNumerically(">=", unknown))
		mu.Lock()
		defer mu.Unlock()
		for _, path := range notRun {
			Expect(received.String()).NotTo(ContainSubstring(path))
		}
	})

	It("transfers the complete request and response of a stand-in executor", func(ctx SpecContext) {
		e := &standin.Executor{ID: "e"}
		server := httptest.NewServer(e.Handler())
		DeferCleanup(server.Close)
		DeferCleanup(client.CloseIdleConnections)
		request := newRequest(http.MethodPost, "/swap/a%2Fb?size=300000&chunked=true", strings.NewReader("12345"))
		request.Header.Set(executor.RequestHeader, "r1")
		request.Header.Set("Connection", "X-Hop")
		response, err := client.Do(ctx, executor.Attempt{Address: strings.TrimPrefix(server.URL, "http://"), Request: request})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(standin.VerifyContent(response.Body, "r1", 300000)).To(Succeed())
		Expect(e.Journal.Entries()[1]).To(HaveField("Received", BeEquivalentTo(5)))
	})
})

// failingReader is the request body of a caller that has disconnected.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}
