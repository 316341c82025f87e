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
	// loadCallers is the number of callers that send to an instance at once.
	loadCallers = 4
	// loadRate bounds the requests of one caller per second.
	loadRate = 50
	// loadSize is the size of an answer in bytes.
	loadSize = 20_000
	// callTimeout bounds a request of a caller; it is longer than any answer takes.
	callTimeout = 10 * time.Second
)

// load sends requests to an entry instance over connections that are kept, and
// notes what became of them.
type load struct {
	target string
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// served, notRun and unsent count requests with a whole answer, with the answer
	// "not run", and those whose connection was refused.
	served, notRun, unsent int
	// draining counts what was not run because the instance stops.
	draining int
	failures []string
}

// startLoad sends requests until the instance is unready at a look of the balancer,
// until halt or the end of the spec.
func startLoad(e *entryProcess) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		target: "http://" + e.Caller + "/services/desk/load",
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}},
		cancel: cancel,
	}
	for n := range loadCallers {
		l.group.Go(func() { l.run(ctx, fmt.Sprintf("%s-%d", e.ID, n)) })
	}
	l.group.Go(func() { l.balance(ctx, e) })
	DeferCleanup(l.halt)
	return l
}

// balance looks at the instance as a balancer does, and stops the load when it is
// unready.
func (l *load) balance(ctx context.Context, e *entryProcess) {
	ticker := time.NewTicker(balancerCheck)
	defer ticker.Stop()
	for e.ready() == http.StatusNoContent {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	l.cancel()
}

// halt lets the requests in flight end.
func (l *load) halt() {
	l.cancel()
	l.group.Wait()
}

func (l *load) run(ctx context.Context, name string) {
	limiter := rate.NewLimiter(loadRate, 1)
	for n := 0; limiter.Wait(ctx) == nil; n++ {
		l.send(fmt.Sprintf("%s-%d", name, n))
	}
}

func (l *load) send(seed string) {
	query := fmt.Sprintf("?work=20ms&size=%d&seed=%s", loadSize, seed)
	response, err := l.client.Post(l.target+query, "", nil)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		l.note(&l.unsent)
		return
	}
	if err != nil {
		l.fail("%s: %v", seed, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Jacinthtrail-Outcome")
	expected, _ := io.ReadAll(executor.Content(seed, loadSize))
	switch {
	case err != nil:
		l.fail("%s: the answer was cut off after %d bytes: %v", seed, len(body), err)
	case outcome == "NotRun" && response.Header.Get("Jacinthtrail-Reason") == string(service.ReasonDraining):
		l.note(&l.draining)
	case outcome == "NotRun":
		l.note(&l.notRun)
	case response.StatusCode == http.StatusOK && bytes.Equal(body, expected):
		l.note(&l.served)
	default:
		l.fail("%s: status %d, outcome %s, reason %s, %d bytes", seed, response.StatusCode, outcome,
			response.Header.Get("Jacinthtrail-Reason"), len(body))
	}
}

func (l *load) note(count *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*count++
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().UTC().Format(time.RFC3339Nano)+" "+fmt.Sprintf(format, args...))
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// expectMore waits until the instance has served more requests than before.
func (l *load) expectMore(count int, bound time.Duration) {
	GinkgoHelper()
	before := l.count()
	Eventually(l.count).WithTimeout(bound).Should(BeNumerically(">=", before+count), "%s", l)
}

// expectNoneCut stops the load and checks that each request had a whole answer or,
// for want of a slot, the answer "not run".
func (l *load) expectNoneCut() {
	GinkgoHelper()
	l.halt()
	AddReportEntry("load", l.String())
	Expect(l.failures).To(BeEmpty())
	Expect(l.served).To(BeNumerically(">", 0))
	Expect(l.unsent).To(BeZero(), "the instance closed its address while the balancer sent requests")
	Expect(l.draining).To(BeZero(), "the instance refused requests while the balancer sent them")
}

func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d served, %d not run, %d not sent, %d failed", l.served, l.notRun, l.unsent, len(l.failures))
}

// feed is an open feed of numbered lines.
type feed struct {
	seed  string
	lines int
	first chan struct{}
	done  chan struct{}

	got []string
	err error
}

// openFeed opens a feed with so many lines and returns after its first line. A feed
// that is refused for want of a slot is asked for again.
func openFeed(e *entryProcess, seed string, lines int, interval time.Duration) *feed {
	GinkgoHelper()
	f := &feed{seed: seed, lines: lines, first: make(chan struct{}), done: make(chan struct{})}
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
	Eventually(f.first).WithTimeout(callTimeout).Should(BeClosed())
	return f
}

func (f *feed) read(body io.Reader) {
	var all strings.Builder
	buffer := make([]byte, 4096)
	for f.err == nil {
		var n int
		n, f.err = body.Read(buffer)
		all.Write(buffer[:n])
		if n > 0 && len(f.got) == 0 {
			f.got = []string{""}
			close(f.first)
		}
	}
	f.got = strings.Split(strings.TrimSuffix(all.String(), "\n"), "\n")
}

// expectWhole waits until the feed ends and checks that it has every line.
func (f *feed) expectWhole(bound time.Duration) {
	GinkgoHelper()
	Eventually(f.done).WithTimeout(bound).Should(BeClosed(), "feed %s", f.seed)
	Expect(f.err).To(MatchError(io.EOF), "feed %s ended after %d lines", f.seed, len(f.got))
	expected := make([]string, f.lines)
	for n := range expected {
		expected[n] = fmt.Sprintf("%s %d", f.seed, n)
	}
	Expect(f.got).To(Equal(expected))
}

// isOpen reports whether the feed goes on.
func (f *feed) isOpen() bool {
	select {
	case <-f.done:
		return false
	default:
		return true
	}
}

// listed returns the instances that the membership list shows now.
func (d *deployment) listed() []membership.Instance {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	snapshot, err := membership.Client{Address: d.address}.List(ctx)
	if err != nil {
		return nil
	}
	return snapshot.Instances
}
