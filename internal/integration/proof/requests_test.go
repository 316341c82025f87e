package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/ticket"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/proxy"
)

const (
	// deskMaxDuration, deskFirstByteTimeout and deskIdleTimeout are the limits of the desk
	// service in the test manifest.
	deskMaxDuration      = 2 * time.Second
	deskFirstByteTimeout = time.Second
	deskIdleTimeout      = time.Second
	// responseSlack is how much later than its limit a response may arrive on a busy machine.
	responseSlack = time.Second
	// trafficEndTimeout is the time within which all traffic ends once every entry instance was
	// killed: the longest request and some slack.
	trafficEndTimeout = deskMaxDuration + 3*time.Second
)

// callerRequest is a request of a client account.
type callerRequest struct {
	// work and size are the run time of the request and the size of the response.
	work time.Duration
	size int64
	// query is appended to the query of the request.
	query         string
	seed          string
	body          io.Reader
	key           string
	nonIdempotent bool
	timeout       time.Duration
	feed          bool
	path          string // "/services/desk/check" if empty
	// client sends the request; nil means a client that opens a connection for each request.
	client *http.Client
}

// reply is the result of a request as its caller sees it. Its error is set if there was no
// response, or if the response was cut off or differs from the requested content.
type reply struct {
	key, request, seed string
	status             int
	outcome            service.Outcome
	reason             service.Reason
	retryAfter         time.Duration
	startedAt          time.Time
	duration           time.Duration
	err                error
	// corrupt reports that the received content differs from the requested content, or that an
	// incomplete response looked complete.
	corrupt bool
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (a callerRequest) newRequest(ctx context.Context, address string) (*http.Request, error) {
	path := a.path
	if path == "" {
		path = "/services/desk/check"
	}
	query := fmt.Sprintf("?work=%s&size=%d&seed=%s&%s", a.work, a.size, url.QueryEscape(a.seed), a.query)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+query, a.body)
	if err != nil {
		return nil, err
	}
	if a.nonIdempotent || a.key != "" {
		request.Header.Set(service.HeaderNonIdempotent, "true")
	}
	if a.key != "" {
		request.Header.Set(service.HeaderKey, a.key)
	}
	if a.feed {
		request.Header.Set(service.HeaderFeed, "true")
	}
	if a.timeout != 0 {
		request.Header.Set(service.HeaderTimeout, a.timeout.String())
	}
	return request, nil
}

// sendRequest sends a request, and reads and verifies the response. It makes no assertions, so
// that several calls can run concurrently.
func (e *entryProcess) sendRequest(ctx context.Context, a callerRequest) reply {
	r := reply{key: a.key, seed: a.seed, startedAt: time.Now()}
	r.receive(ctx, e.Caller, a)
	r.duration = time.Since(r.startedAt)
	return r
}

func (r *reply) receive(ctx context.Context, address string, a callerRequest) {
	request, err := a.newRequest(ctx, address)
	if err != nil {
		r.err = err
		return
	}
	client := a.client
	if client == nil {
		client = callerClient
	}
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		return
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.request = response.Header.Get(service.HeaderRequest)
	r.outcome = service.Outcome(response.Header.Get(service.HeaderOutcome))
	r.reason = service.Reason(response.Header.Get(service.HeaderReason))
	r.retryAfter, _ = time.ParseDuration(response.Header.Get(service.HeaderRetryAfter))
	if r.outcome == service.Completed && r.status == http.StatusOK && !a.feed {
		r.verify(response.Body, a)
		return
	}
	_, r.err = io.Copy(io.Discard, response.Body)
}

// verify compares the received content with the requested content. A response that was cut off
// gives a read error; what arrived before must still be a prefix of the requested content.
func (r *reply) verify(body io.Reader, a callerRequest) {
	read := &cutReader{reader: body}
	r.err = executor.VerifyContent(read, a.seed, a.size)
	r.corrupt = r.err != nil && !errors.Is(r.err, read.err)
}

// cutReader keeps the error with which a response was cut off.
type cutReader struct {
	reader io.Reader
	err    error
}

func (c *cutReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if err != nil && err != io.EOF {
		c.err = err
	}
	return n, err
}

// complete reports whether the caller received the complete response.
func (r reply) complete() bool {
	return r.outcome == service.Completed && r.err == nil
}

// String describes the reply in failure messages.
func (r reply) String() string {
	return fmt.Sprintf("request %s key %q seed %q: status %d, %s %s, retry after %s, took %s, error %v",
		r.request, r.key, r.seed, r.status, r.outcome, r.reason, r.retryAfter, r.duration, r.err)
}

// runConcurrently makes n calls concurrently and returns their replies in order.
func runConcurrently(n int, call func(i int) reply) []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { replies[i] = call(i) })
	}
	group.Wait()
	return replies
}

// startDeskZone starts a zone with two entry instances and the given number of executors of the
// desk service, each on its own worker.
func startDeskZone(executors int) *deployment {
	GinkgoHelper()
	d := startPlatform()
	d.startEntry("entry-1", zoneA)
	d.startEntry("entry-2", zoneA)
	for n := range executors {
		id := strconv.Itoa(n + 1)
		d.startWorker("worker-"+id, zoneA)
		d.startExecutor("executor-"+id, zoneA, "worker-"+id)
	}
	d.publish(d.entry("entry-1"))
	d.expectOwner(zoneA, takeoverTimeout)
	for _, e := range d.entries {
		e.expectReady()
		e.expectServed(readyTimeout)
	}
	d.expectPeersKnown()
	return d
}

// publishDeskSettings publishes the test manifest with changed limits of the desk service.
func (d *deployment) publishDeskSettings(change func(desk *manifest.Service)) {
	GinkgoHelper()
	m := testManifest()
	change(&m.Services[0])
	ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
	defer cancel()
	control := d.entry("entry-1").control()
	current, err := control.Manifest(ctx)
	Expect(err).NotTo(HaveOccurred())
	answer, err := control.Publish(ctx, m, current.Version, "test", configTimeout)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Missing).To(BeEmpty())
}

// expectPeersKnown waits until each entry instance can claim tickets of every other one, which
// requires that it knows the instance that issued the ticket.
func (d *deployment) expectPeersKnown() {
	GinkgoHelper()
	for id, home := range d.entries {
		for other, e := range d.entries {
			if id == other {
				continue
			}
			Eventually(func(g Gomega) {
				r := e.sendRequest(context.Background(), callerRequest{key: home.fetchTicket(g), size: 1, seed: "peers"})
				g.Expect(r.complete()).To(BeTrue(), "%s", r)
			}).WithTimeout(readyTimeout).Should(Succeed())
		}
	}
}

// fetchTicket fetches a ticket from the instance.
func (e *entryProcess) fetchTicket(g Gomega) string {
	response, err := callerClient.Post("http://"+e.Caller+"/tickets", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var issued ticket.Issued
	g.Expect(json.NewDecoder(response.Body).Decode(&issued)).To(Succeed())
	g.Expect(issued.Tickets).To(HaveLen(1))
	return issued.Tickets[0]
}

// setExecutorProxyFaults sets the faults between the entry instances and the executors.
func (d *deployment) setExecutorProxyFaults(faults proxy.Faults) {
	GinkgoHelper()
	for _, e := range d.executors {
		Expect(e.proxy.SetFaults(faults)).To(Succeed())
	}
}

// cutExecutorConnections closes all connections to executors.
func (d *deployment) cutExecutorConnections() {
	for _, e := range d.executors {
		e.proxy.Cut()
	}
}

// setExecutorState makes an executor announce a state, as it does when it stops gracefully.
func (e *executorProcess) setExecutorState(state membership.State) {
	GinkgoHelper()
	e.putJSON("/state", state)
}

// setExecutorFaults replaces the faults that an executor simulates.
func (e *executorProcess) setExecutorFaults(faults executor.Faults) {
	GinkgoHelper()
	e.putJSON("/faults", faults)
}

func (e *executorProcess) putJSON(path string, value any) {
	GinkgoHelper()
	body, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+e.address+path, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := callerClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
}

// expectFrozen waits until every thread of a frozen process has stopped, since sending SIGSTOP
// returns before that.
func (p *process) expectFrozen() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.session.Command.Process.Pid))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(threads).NotTo(BeEmpty())
		for _, thread := range threads {
			stat, err := os.ReadFile(thread)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(stat)).To(ContainSubstring(") T "))
		}
	}).WithTimeout(processStartTimeout).Should(Succeed())
}
