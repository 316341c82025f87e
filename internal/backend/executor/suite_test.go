package executor_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/executor"
)

func TestExecutor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Executor client")
}

// testServer is a TCP server whose connections are handled by a test.
type testServer struct {
	address     string
	connections atomic.Int32
}

// listen starts a server that passes each connection to handle and closes it when
// handle returns. The server stops at the end of the test.
func listen(handle func(c net.Conn, in *bufio.Reader)) *testServer {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &testServer{address: listener.Addr().String()}
	var group sync.WaitGroup
	var accepted []net.Conn
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				for _, c := range accepted {
					c.Close()
				}
				return
			}
			accepted = append(accepted, c)
			server.connections.Add(1)
			group.Go(func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			})
		}
	})
	DeferCleanup(func() {
		listener.Close()
		group.Wait()
	})
	return server
}

// readRequest reads one request, including its body.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err
}

// waitUntilClosed returns when the client has closed the connection.
func waitUntilClosed(in *bufio.Reader) {
	_, _ = io.Copy(io.Discard, in)
}

// answerWith returns a handler that sends text in answer to each request of a connection
// and then calls after, if set. If closeAfterAnswer is set, it handles only one request.
func answerWith(text string, closeAfterAnswer bool, after func(in *bufio.Reader)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := readRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			if after != nil {
				after(in)
			}
			if closeAfterAnswer {
				return
			}
		}
	}
}

func newRequest(method, target string, body io.Reader) *http.Request {
	GinkgoHelper()
	request, err := http.NewRequest(method, "http://service"+target, body)
	Expect(err).NotTo(HaveOccurred())
	return request
}

// sendAndRead sends an attempt and reads the complete response body.
func sendAndRead(ctx context.Context, c *executor.Client, a executor.Attempt) ([]byte, error) {
	if a.FirstByteTimeout == 0 {
		a.FirstByteTimeout = 5 * time.Second
	}
	response, err := c.Do(ctx, a)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func expectFailure(err error, class executor.Class, reasons ...executor.Reason) {
	GinkgoHelper()
	var failure *executor.Error
	Expect(errors.As(err, &failure)).To(BeTrue(), "error %v", err)
	Expect(failure.Class).To(Equal(class), "error %v", err)
	Expect(reasons).To(ContainElement(failure.Reason), "error %v", err)
}
