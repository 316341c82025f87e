package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
)

// specTimeout bounds the waits of the specs.
const specTimeout = 20 * time.Second

// portFixture is a port whose handler answers with the length of the body.
type portFixture struct {
	*Port
	counters *counter.Set
	address  string
}

func startPort(b testing.TB, p *Port) *portFixture {
	f := &portFixture{Port: p, counters: &counter.Set{}}
	p.Name, p.Counters, p.Clock = "Test", f.counters, clockwork.NewRealClock()
	opened, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	f.address = opened.Addr().String()
	server := p.NewServer(http.HandlerFunc(answerLength))
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(p.Listener(opened)) })
	b.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return f
}

const testBodyLimit = 1 << 20

func answerLength(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	content, err := ReadBody(r.Context(), w, r, testBodyLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case IsRefusal(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		fmt.Fprint(w, len(content))
	}
}

// readerFunc is a function as a reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// open opens a connection and sends text on it.
func (f *portFixture) open(text string) net.Conn {
	GinkgoHelper()
	c, err := net.DialTimeout("tcp", f.address, specTimeout)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(specTimeout))).To(Succeed())
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func expectStatus(c net.Conn, status int) *http.Response {
	GinkgoHelper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.StatusCode).To(Equal(status))
	return answer
}

func expectClosed(c net.Conn) {
	GinkgoHelper()
	_, err := io.ReadAll(c)
	Expect(isTimeout(err)).To(BeFalse(), "the connection is still open")
}

const (
	post        = "POST / HTTP/1.1\r\nHost: h\r\n"
	wholePost   = post + "Content-Length: 3\r\n\r\nabc"
	unfinished  = post + "Content-Length: 100000\r\n\r\n"
	chunkedPost = post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
)

var _ = Describe("Port", func() {
	It("reads bodies of known and of unknown length, one after the other on a connection", func() {
		f := startPort(GinkgoTB(), &Port{MaxConnections: 4, Budget: NewBudget(1 << 20)})
		c := f.open(wholePost + chunkedPost + wholePost)
		answers := bufio.NewReader(c)
		for range 3 {
			answer, err := http.ReadResponse(answers, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(answer.Body)).To(Equal([]byte("3")))
		}
		Eventually(f.Budget.Used, specTimeout).Should(BeZero())
	})
	It("answers 503 to a body for which there is no room, although the rest doesn't arrive", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(16 << 10)})
		Expect(f.Budget.NewLease(func() {}).Take(time.Now(), 1)).To(Succeed())
		c := f.open(unfinished + strings.Repeat("x", 20000))
		answer := expectStatus(c, http.StatusServiceUnavailable)
		Expect(answer.Close).To(BeTrue())
		Expect(f.counters.Value("Intake.Test.Refused.BodyMemory")).To(Equal(int64(1)))
		expectClosed(c)
	})
	It("answers 503 to a body that pauses for too long", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(1 << 20)})
		expectStatus(f.open(unfinished+"x"), http.StatusServiceUnavailable)
		Expect(f.counters.Value("Intake.Test.Refused.BodyStalled")).To(Equal(int64(1)))
	})
	It("reads the largest body that is configured when it is the only one, whatever the budget is", func() {
		b := NewBudget(16 << 10)
		b.LargestRequest = func() Bytes { return RequestBytes(testBodyLimit, 2) }
		f := startPort(GinkgoTB(), &Port{Budget: b})
		body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", testBodyLimit, strings.Repeat("x", testBodyLimit))
		expectStatus(f.open(post+body), http.StatusOK)
	})
	It("answers 503 to a body that was ended at the moment in which it had arrived", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(64 << 10)})
		server, client := net.Pipe()
		DeferCleanup(client.Close)
		c := &connection{Conn: server, port: f.Port, lease: f.Budget.NewLease(func() {})}
		c.lease.Reading(time.Now())
		r := requestOn(c)
		r.ContentLength = 4 << 10
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 4<<10)), readerFunc(func([]byte) (int, error) {
			for _, n := range []Bytes{44<<10 - 1, smallRequestBytes, 1} {
				Expect(f.Budget.NewLease(func() {}).Take(time.Now().Add(minReadingTime), n)).To(Succeed())
			}
			return 0, io.EOF
		})))
		_, err := ReadBody(r.Context(), httptest.NewRecorder(), r, testBodyLimit)
		Expect(err).To(MatchError(ErrEnded))
		Expect(f.counters.Value("Intake.Test.Refused.BodyEnded")).To(Equal(int64(1)))
	})
	It("refuses a body that is too large without reading it", func() {
		f := startPort(GinkgoTB(), &Port{})
		expectStatus(f.open(post+"Content-Length: 99999999\r\n\r\n"), http.StatusRequestEntityTooLarge)
	})
	// Guards against a reset that overtakes the answer, after which the caller doesn't know that nothing has run: the
	// server closed the connection at once if the caller had asked for that.
	It("answers a body that is too large to callers that close their connections", func() {
		const callers, requests = 8, 25
		f := startPort(GinkgoTB(), &Port{MaxConnections: 2 * callers * requests})
		client := http.Client{Timeout: specTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		failures := make(chan error, callers*requests)
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for range requests {
					answer, err := client.Post("http://"+f.address, "", bytes.NewReader(make([]byte, 2*testBodyLimit)))
					if err != nil {
						failures <- err
						continue
					}
					_ = answer.Body.Close()
					if answer.StatusCode != http.StatusRequestEntityTooLarge {
						failures <- fmt.Errorf("status %d", answer.StatusCode)
					}
				}
			})
		}
		group.Wait()
		Expect(failures).To(BeEmpty())
	})
	It("answers 503 to an unfinished request when another one needs its bytes", func() {
		f := startPort(GinkgoTB(), &Port{Budget: NewBudget(80 << 10)})
		Expect(f.Budget.NewLease(func() {}).Take(time.Now(), 1)).To(Succeed())
		first := f.open(unfinished + strings.Repeat("x", 20000))
		Eventually(f.Budget.Used, specTimeout).Should(BeNumerically(">", 30000))
		body := strings.Repeat("x", 20000)
		Eventually(func(g Gomega) {
			c := f.open(post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}, specTimeout).Should(Succeed())
		expectStatus(first, http.StatusServiceUnavailable)
		Expect(f.counters.Value("Intake.Test.Ended.Body")).To(Equal(int64(1)))
	})
	It("refuses a header over the limit", func() {
		f := startPort(GinkgoTB(), &Port{Limits: func() RequestLimits { return RequestLimits{HeaderBytes: 1000} }})
		expectStatus(f.open("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 10000)+"\r\n\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	})
	It("closes a connection whose header doesn't arrive within the configured time", func() {
		f := startPort(GinkgoTB(), &Port{Limits: func() RequestLimits { return RequestLimits{HeaderTimeout: 50 * time.Millisecond} }})
		expectClosed(f.open("GET / HTTP/1.1\r\nHost:"))
	})
	It("closes a connection that is idle for the configured time after its answer", func() {
		f := startPort(GinkgoTB(), &Port{Limits: func() RequestLimits { return RequestLimits{IdleTimeout: 50 * time.Millisecond} }})
		expectClosed(f.open(wholePost))
	})
	It("closes the idle connection when it is full, and serves the new one", func() {
		f := startPort(GinkgoTB(), &Port{MaxConnections: 1})
		idle := f.open("")
		expectStatus(f.open(wholePost), http.StatusOK)
		expectClosed(idle)
		Expect(f.counters.Value("Intake.Test.Closed.Idle")).To(BeNumerically(">=", 1))
	})
	It("serves callers although requests whose bodies the handler doesn't read stay unfinished", func() {
		f := startPort(GinkgoTB(), &Port{MaxConnections: 2, Budget: NewBudget(1 << 20)})
		for range 2 {
			f.open("POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
		}
		Eventually(func(g Gomega) {
			answer, err := http.ReadResponse(bufio.NewReader(f.open(wholePost)), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}, specTimeout).Should(Succeed())
	})
	// Guards against a request that is closed for a new connection while it is handled, because its handler doesn't read
	// the body that it came with.
	DescribeTable("takes a request with a body, before that is read, as one that", func(method string, expected phase) {
		f := startPort(GinkgoTB(), &Port{})
		server, client := net.Pipe()
		DeferCleanup(client.Close)
		c := &connection{Conn: server, port: f.Port}
		r, err := http.NewRequestWithContext(context.WithValue(context.Background(), connectionKey{}, c), method, "/", strings.NewReader("abc"))
		Expect(err).NotTo(HaveOccurred())
		handled := phaseIdle
		f.bound(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled = c.activity().phase })).ServeHTTP(nil, r)
		Expect(handled).To(Equal(expected))
	},
		Entry("is handled if handlers don't read the body", http.MethodDelete, phaseHandling),
		Entry("still arrives if they do", http.MethodPost, phaseBody),
	)
	It("honours a deadline that the handler sets for writes", func() {
		f := startPort(GinkgoTB(), &Port{})
		server, client := net.Pipe()
		DeferCleanup(client.Close)
		c := &connection{Conn: server, port: f.Port}
		Expect(c.SetWriteDeadline(time.Unix(1, 0))).To(Succeed())
		_, err := c.Write([]byte("x"))
		Expect(isTimeout(err)).To(BeTrue())
	})
	It("reads a request of another server without limits", func() {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", strings.NewReader("abc"))
		Expect(err).NotTo(HaveOccurred())
		Expect(ReadBody(r.Context(), nil, r, 3)).To(Equal([]byte("abc")))
		giveBack, err := TakeForDecoding(r, 1<<30, 8)
		Expect(err).NotTo(HaveOccurred())
		giveBack()
	})
})

func benchmarkPost(b *testing.B, address string, size int) {
	client := &http.Client{}
	body := strings.Repeat("x", size)
	b.ResetTimer()
	for b.Loop() {
		answer, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}

// BenchmarkPost compares a request to a Port with one to a server without bounds.
func BenchmarkPost(b *testing.B) {
	for _, size := range []int{500, 262144} {
		b.Run(fmt.Sprintf("Port/%d", size), func(b *testing.B) {
			benchmarkPost(b, startPort(b, &Port{MaxConnections: 1000, Budget: NewBudget(32 << 20)}).address, size)
		})
		b.Run(fmt.Sprintf("Unbounded/%d", size), func(b *testing.B) {
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				content, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, testBodyLimit))
				fmt.Fprint(w, len(content))
			})}
			var group sync.WaitGroup
			group.Go(func() { _ = server.Serve(opened) })
			defer group.Wait()
			defer server.Close()
			benchmarkPost(b, opened.Addr().String(), size)
		})
	}
}
