package proxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

// startEchoServer starts a server that sends back what it receives and returns its address.
func startEchoServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	DeferCleanup(group.Wait)
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

var _ = Describe("Proxy", func() {
	var p *proxy.Proxy

	BeforeEach(func() {
		var err error
		p, err = proxy.New(startEchoServer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})

	dialProxy := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}

	// exchange sends a message and returns the bytes that come back within a timeout.
	exchange := func(conn net.Conn, message string, timeout time.Duration) (string, error) {
		GinkgoHelper()
		_, err := conn.Write([]byte(message))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
		got := make([]byte, len(message))
		n, err := io.ReadFull(conn, got)
		return string(got[:n]), err
	}

	expectEcho := func(conn net.Conn) {
		GinkgoHelper()
		Expect(exchange(conn, "hello", 5*time.Second)).To(Equal("hello"))
	}

	expectSilence := func(conn net.Conn) {
		GinkgoHelper()
		_, err := exchange(conn, "hello", 50*time.Millisecond)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}

	It("forwards in both directions and counts bytes", func() {
		expectEcho(dialProxy())
		toServer, toClient := p.Bytes()
		Expect([]int64{toServer, toClient}).To(Equal([]int64{5, 5}))
	})

	It("forwards the end of a stream", func() {
		conn := dialProxy()
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(io.ReadAll(conn)).To(BeEmpty())
		Eventually(p.Connections).Should(BeZero())
	})

	It("resets only existing connections", func() {
		conn := dialProxy()
		expectEcho(conn)
		p.Cut()
		_, err := io.ReadAll(conn)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		expectEcho(dialProxy())
	})

	It("refuses new connections, and accepts them at the same address after the fault", func() {
		conn := dialProxy()
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
		_, err := net.Dial("tcp", p.Address())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
		expectEcho(dialProxy())
	})

	DescribeTable("forwards bytes sent during a silence after it ends",
		func(faults proxy.Faults) {
			conn := dialProxy()
			expectEcho(conn)
			Expect(p.SetFaults(faults)).To(Succeed())
			expectSilence(conn)
			Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
			expectEcho(conn)
		},
		Entry("to the server", proxy.Faults{ToServer: proxy.Flow{Silence: true}}),
		Entry("to the client", proxy.Faults{ToClient: proxy.Flow{Silence: true}}),
	)

	It("silences existing connections permanently while new ones work", func() {
		conn := dialProxy()
		expectEcho(conn)
		p.SilenceExisting()
		expectSilence(conn)
		Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
		expectSilence(conn)
		expectEcho(dialProxy())
	})

	It("delays bytes without reducing the throughput", func() {
		const delay = 50 * time.Millisecond
		Expect(p.SetFaults(proxy.Faults{ToServer: proxy.Flow{Delay: delay}})).To(Succeed())
		conn := dialProxy()
		startedAt := time.Now()
		Expect(exchange(conn, string(make([]byte, 1<<20)), 5*time.Second)).To(HaveLen(1 << 20))
		Expect(time.Since(startedAt)).To(And(BeNumerically(">=", delay), BeNumerically("<", 1500*time.Millisecond)))
	})

	It("bounds the rate to the client", func() {
		Expect(p.SetFaults(proxy.Faults{ToClient: proxy.Flow{Rate: 100_000}})).To(Succeed())
		startedAt := time.Now()
		Expect(exchange(dialProxy(), string(make([]byte, 25_000)), 5*time.Second)).To(HaveLen(25_000))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("closes a connection after a number of bytes to the client", func() {
		conn := dialProxy()
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{CutAfter: 3})).To(Succeed())
		got, err := exchange(conn, "hello", 5*time.Second)
		Expect(got).To(Equal("hel"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})
