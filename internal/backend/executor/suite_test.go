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

// peer is a listener whose connections a test handles byte by byte.
type peer struct {
	address     string
	connections atomic.Int32
}

// listen accepts connections until the end of the test and closes each after handle.
func listen(handle func(c net.Conn, in *bufio.Reader)) *peer {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{address: listener.Addr().String()}
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
			p.connections.Add(1)
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
	return p
}

// readRequest reads one request to the end of its body.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err
}

// untilClosed returns when the other end closed the connection.
func untilClosed(in *bufio.Reader) {
	_, _ = io.Copy(io.Discard, in)
}

// answering answers each request of a connection with text and closes it if last.
func answering(text string, last bool, after func(in *bufio.Reader)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := readRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			if after != nil {
				after(in)
			}
			if last {
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

// outcome sends an attempt and reads its whole answer.
func outcome(ctx context.Context, c *executor.Client, a executor.Attempt) ([]byte, error) {
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
