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

// echo serves connections that return what they get.
func echo() string {
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
		p, err = proxy.New(echo())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
	})

	dial := func() net.Conn {
		GinkgoHelper()
		conn, err := net.Dial("tcp", p.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}

	// receive sends a message and returns what comes back within a bound.
	receive := func(conn net.Conn, message string, bound time.Duration) (string, error) {
		GinkgoHelper()
		_, err := conn.Write([]byte(message))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(bound))).To(Succeed())
		got := make([]byte, len(message))
		n, err := io.ReadFull(conn, got)
		return string(got[:n]), err
	}

	expectEcho := func(conn net.Conn) {
		GinkgoHelper()
		Expect(receive(conn, "hello", 5*time.Second)).To(Equal("hello"))
	}

	expectSilence := func(conn net.Conn) {
		GinkgoHelper()
		_, err := receive(conn, "hello", 50*time.Millisecond)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	}

	It("forwards in both directions and counts bytes", func() {
		expectEcho(dial())
		toServer, toClient := p.Bytes()
		Expect([]int64{toServer, toClient}).To(Equal([]int64{5, 5}))
	})

	It("passes on the end of a stream", func() {
		conn := dial()
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(io.ReadAll(conn)).To(BeEmpty())
		Eventually(p.Connections).Should(BeZero())
	})

	It("cuts existing connections only", func() {
		conn := dial()
		expectEcho(conn)
		p.Cut()
		_, err := io.ReadAll(conn)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		expectEcho(dial())
	})

	It("refuses new connections and then accepts them at the same address", func() {
		conn := dial()
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{Refuse: true})).To(Succeed())
		_, err := net.Dial("tcp", p.Address())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
		expectEcho(dial())
	})

	DescribeTable("holds what is sent during a silence and forwards it later",
		func(faults proxy.Faults) {
			conn := dial()
			expectEcho(conn)
			Expect(p.SetFaults(faults)).To(Succeed())
			expectSilence(conn)
			Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
			expectEcho(conn)
		},
		Entry("to the server", proxy.Faults{ToServer: proxy.Flow{Silence: true}}),
		Entry("to the client", proxy.Faults{ToClient: proxy.Flow{Silence: true}}),
	)

	It("silences existing connections for good while new ones work", func() {
		conn := dial()
		expectEcho(conn)
		p.SilenceExisting()
		expectSilence(conn)
		Expect(p.SetFaults(proxy.Faults{})).To(Succeed())
		expectSilence(conn)
		expectEcho(dial())
	})

	It("delays without reducing the throughput", func() {
		const delay = 50 * time.Millisecond
		Expect(p.SetFaults(proxy.Faults{ToServer: proxy.Flow{Delay: delay}})).To(Succeed())
		conn := dial()
		began := time.Now()
		Expect(receive(conn, string(make([]byte, 1<<20)), 5*time.Second)).To(HaveLen(1 << 20))
		Expect(time.Since(began)).To(And(BeNumerically(">=", delay), BeNumerically("<", 1500*time.Millisecond)))
	})

	It("bounds the rate", func() {
		Expect(p.SetFaults(proxy.Faults{ToClient: proxy.Flow{Rate: 100_000}})).To(Succeed())
		began := time.Now()
		Expect(receive(dial(), string(make([]byte, 25_000)), 5*time.Second)).To(HaveLen(25_000))
		Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("cuts a connection after a number of bytes to the client", func() {
		conn := dial()
		expectEcho(conn)
		Expect(p.SetFaults(proxy.Faults{CutAfter: 3})).To(Succeed())
		got, err := receive(conn, "hello", 5*time.Second)
		Expect(got).To(Equal("hel"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})
