package proof

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
)

const (
	// loadCallers is the number of concurrent callers of an instance.
	loadCallers = 4
	// loadRatePerCaller limits the requests of one caller per second.
	loadRatePerCaller = 50
	// loadAnswerSize is the size of a response in bytes.
	loadAnswerSize = 20_000
	// callTimeout limits a request of a caller; it is longer than any response takes.
	callTimeout = 10 * time.Second
)

// load sends requests to an entry instance over keep-alive connections and counts their results.
type load struct {
	target  string
	client  *http.Client
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu sync.Mutex
	// served, notRun and notSent count requests with a complete response, with the outcome
	// NotRun, and with a refused connection.
	served, notRun, notSent int
	// draining counts requests with the outcome NotRun because the instance is draining.
	draining int
	failures []string
}

// startLoad sends requests until a health check finds the instance unready, until stop is called
// or until the end of the spec.
func startLoad(e *entryProcess) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		target: "http://" + e.Caller + "/services/desk/load",
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}},
		cancel: cancel,
	}
	for n := range loadCallers {
		l.senders.Go(func() { l.run(ctx, fmt.Sprintf("%s-%d", e.ID, n)) })
	}
	l.senders.Go(func() { l.stopWhenUnready(ctx, e) })
	DeferCleanup(l.stop)
	return l
}

// stopWhenUnready polls the readiness of the instance as a load balancer does, and stops the
// load when the instance is unready.
func (l *load) stopWhenUnready(ctx context.Context, e *entryProcess) {
	ticker := time.NewTicker(balancerCheckInterval)
	defer ticker.Stop()
	for e.readyStatus() == http.StatusNoContent {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	l.cancel()
}

// stop ends the load and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.senders.Wait()
}

func (l *load) run(ctx context.Context, name string) {
	limiter := rate.NewLimiter(loadRatePerCaller, 1)
	for n := 0; limiter.Wait(ctx) == nil; n++ {
		l.send(fmt.Sprintf("%s-%d", name, n))
	}
}

func (l *load) send(seed string) {
	query := fmt.Sprintf("?work=20ms&size=%d&seed=%s", loadAnswerSize, seed)
	response, err := l.client.Post(l.target+query, "", nil)
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		l.increment(&l.notSent)
		return
	}
	if err != nil {
		l.recordFailure("%s: %v", seed, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Jacinthtrail-Outcome")
	expected, _ := io.ReadAll(executor.Content(seed, loadAnswerSize))
	switch {
	case err != nil:
		l.recordFailure("%s: the response was cut off after %d bytes: %v", seed, len(body), err)
	case outcome == "NotRun" && response.Header.Get("Jacinthtrail-Reason") == string(service.ReasonDraining):
		l.increment(&l.draining)
	case outcome == "NotRun":
		l.increment(&l.notRun)
	case response.StatusCode == http.StatusOK && bytes.Equal(body, expected):
		l.increment(&l.served)
	default:
		l.recordFailure("%s: status %d, outcome %s, reason %s, %d bytes", seed, response.StatusCode, outcome,
			response.Header.Get("Jacinthtrail-Reason"), len(body))
	}
}

func (l *load) increment(count *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count++
}

func (l *load) recordFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().UTC().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

func (l *load) servedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// expectMore waits until the instance has served at least count more requests.
func (l *load) expectMore(count int, timeout time.Duration) {
	GinkgoHelper()
	before := l.servedCount()
	Eventually(l.servedCount).WithTimeout(timeout).Should(BeNumerically(">=", before+count), "%s", l)
}

// expectNoneInterrupted stops the load and checks that each request had a complete response or,
// if no slot was free, the outcome NotRun.
func (l *load) expectNoneInterrupted() {
	GinkgoHelper()
	l.stop()
	AddReportEntry("load", l.String())
	Expect(l.failures).To(BeEmpty())
	Expect(l.served).To(BeNumerically(">", 0))
	Expect(l.notSent).To(BeZero(), "the instance refused connections while the load balancer sent requests")
	Expect(l.draining).To(BeZero(), "the instance refused requests as draining while the load balancer sent them")
}

func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d served, %d not run, %d not sent, %d failed", l.served, l.notRun, l.notSent, len(l.failures))
}

// feed is an open feed of numbered lines.
type feed struct {
	seed      string
	lines     int
	firstLine chan struct{}
	done      chan struct{}

	received []string
	err      error
}

// openFeed opens a feed with the given number of lines and returns after its first line. It
// retries if the feed is refused because no slot is free.
func openFeed(e *entryProcess, seed string, lines int, interval time.Duration) *feed {
	GinkgoHelper()
	f := &feed{seed: seed, lines: lines, firstLine: make(chan struct{}), done: make(chan struct{})}
	query := fmt.Sprintf("?feed=true&seed=%s&lines=%d&interval=%s&heartbeat=1h", seed, lines, interval)
	client := &http.Client{Transport: &http.Transport{}}
	DeferCleanup(client.CloseIdleConnections)
	var response *http.Response
	Eventually(func(g Gomega) {
		request, err := http.NewRequest(http.MethodGet, "http://"+e.Caller+"/services/desk/roster"+query, nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Jacinthtrail-Feed", "true")
		response, err = client.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		if response.StatusCode != http.StatusOK {
			g.Expect(response.Body.Close()).To(Succeed())
		}
		g.Expect(response.StatusCode).To(Equal(http.StatusOK), response.Header.Get("Jacinthtrail-Reason"))
	}).WithTimeout(callTimeout).Should(Succeed())
	var group sync.WaitGroup
	group.Go(func() {
		defer close(f.done)
		defer response.Body.Close()
		f.read(response.Body)
	})
	Eventually(f.firstLine).WithTimeout(callTimeout).Should(BeClosed())
	return f
}

func (f *feed) read(body io.Reader) {
	var all strings.Builder
	buffer := make([]byte, 4096)
	for f.err == nil {
		var n int
		n, f.err = body.Read(buffer)
		all.Write(buffer[:n])
		if n > 0 && len(f.received) == 0 {
			f.received = []string{""}
			close(f.firstLine)
		}
	}
	f.received = strings.Split(strings.TrimSuffix(all.String(), "\n"), "\n")
}

// expectComplete waits until the feed ends and checks that every line was received.
func (f *feed) expectComplete(timeout time.Duration) {
	GinkgoHelper()
	Eventually(f.done).WithTimeout(timeout).Should(BeClosed(), "feed %s", f.seed)
	Expect(f.err).To(MatchError(io.EOF), "feed %s ended after %d lines", f.seed, len(f.received))
	expected := make([]string, f.lines)
	for n := range expected {
		expected[n] = fmt.Sprintf("%s %d", f.seed, n)
	}
	Expect(f.received).To(Equal(expected))
}

// isOpen reports whether the feed has not ended.
func (f *feed) isOpen() bool {
	select {
	case <-f.done:
		return false
	default:
		return true
	}
}

// listInstances returns the instances in the membership list, or nil if the list is unavailable.
func (d *deployment) listInstances() []membership.Instance {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	snapshot, err := membership.Client{Address: d.platformAddress}.List(ctx)
	if err != nil {
		return nil
	}
	return snapshot.Instances
}
