package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	protocol "github.com/jacinthtrail/jacinthtrail/internal/backend/worker"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/ticket"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/deployment"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/executor"
	"github.com/jacinthtrail/jacinthtrail/internal/standin/worker"
)

const (
	// maxInFlight limits the requests in flight.
	maxInFlight = 8
	// answerBytes is the size of the answer that each request asks for.
	answerBytes = 20_000
	// nonIdempotentInterval is the number of requests of which one is non-idempotent.
	nonIdempotentInterval = 4
	// maxAttempts limits how often a caller sends a request that is refused as not run.
	maxAttempts = 50
	// pollInterval is the time between two checks of the journals.
	pollInterval = 50 * time.Millisecond
	// jobWait is how long one request for a job waits for the job to end.
	jobWait = 10 * time.Second
)

// Requests has the counts and latencies of the service requests.
type Requests struct {
	Sent          int
	Completed     int
	NonIdempotent int
	P50           time.Duration
	P99           time.Duration
}

// add adds the counts of other and keeps the higher latencies.
func (r *Requests) add(other Requests) {
	r.Sent += other.Sent
	r.Completed += other.Completed
	r.NonIdempotent += other.NonIdempotent
	r.P50 = max(r.P50, other.P50)
	r.P99 = max(r.P99, other.P99)
}

// Jobs counts batch jobs.
type Jobs struct {
	Submitted int
	Succeeded int
	Tasks     int
	Results   int
}

// callers sends requests and jobs to all entry instances in turn.
type callers struct {
	deployment *deployment.Deployment
	clock      clockwork.Clock
	client     *http.Client
	// entryCalls counts the calls of nextEntry.
	entryCalls atomic.Int64
}

func newCallers(d *deployment.Deployment, clock clockwork.Clock) *callers {
	return &callers{
		deployment: d,
		clock:      clock,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
	}
}

// nextEntry returns the address for callers of the next entry instance.
func (c *callers) nextEntry() string {
	entries := c.deployment.Entries
	return entries[int(c.entryCalls.Add(1))%len(entries)].Addresses().Caller
}

// sendRequests sends requests and checks that each gets its own complete answer.
func (c *callers) sendRequests(ctx context.Context, count int) Requests {
	var mu sync.Mutex
	counts := Requests{Sent: count}
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxInFlight)
	for n := range count {
		group.Go(func() error {
			nonIdempotent := n%nonIdempotentInterval == 0
			started := c.clock.Now()
			err := c.sendRequest(ctx, nonIdempotent)
			took := c.clock.Since(started)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return nil
			}
			counts.Completed++
			if nonIdempotent {
				counts.NonIdempotent++
			}
			return latency.RecordValue(took.Microseconds())
		})
	}
	if err := group.Wait(); err != nil {
		counts.Completed = 0
	}
	counts.P50 = time.Duration(latency.ValueAtQuantile(50)) * time.Microsecond
	counts.P99 = time.Duration(latency.ValueAtQuantile(99)) * time.Microsecond
	return counts
}

// sendRequest sends one request and repeats it while it is refused as not run.
func (c *callers) sendRequest(ctx context.Context, nonIdempotent bool) error {
	header := http.Header{"Jacinthtrail-Timeout": {"3s"}}
	if nonIdempotent {
		header.Set("Jacinthtrail-Non-Idempotent", "true")
	}
	for range maxAttempts {
		if nonIdempotent {
			key, err := c.fetchTicket(ctx)
			if err != nil {
				return err
			}
			header.Set("Jacinthtrail-Key", key)
		}
		retryAfter, err := c.sendOnce(ctx, header)
		if err != nil || retryAfter == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(retryAfter):
		}
	}
	return fmt.Errorf("the request was refused %d times", maxAttempts)
}

// sendOnce sends a request once. It returns the time to wait before the next attempt
// if the request was not run.
func (c *callers) sendOnce(ctx context.Context, header http.Header) (time.Duration, error) {
	seed := uuid.NewString()
	url := fmt.Sprintf("http://%s/services/chairdesk/swap?work=5ms&size=%d&seed=%s", c.nextEntry(), answerBytes, seed)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Header = header.Clone()
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return 0, executor.VerifyContent(response.Body, seed, answerBytes)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.Header.Get("Jacinthtrail-Outcome") != "NotRun" {
		return 0, fmt.Errorf("outcome %s, reason %s", response.Header.Get("Jacinthtrail-Outcome"), response.Header.Get("Jacinthtrail-Reason"))
	}
	retryAfter, err := time.ParseDuration(response.Header.Get("Jacinthtrail-Retry-After"))
	if err != nil {
		return 0, fmt.Errorf("the request was refused without a valid Jacinthtrail-Retry-After: %w", err)
	}
	return max(retryAfter, time.Millisecond), nil
}

func (c *callers) fetchTicket(ctx context.Context) (string, error) {
	issued, err := callJSON[ticket.Issued](ctx, c, http.MethodPost, "/tickets?count=1", nil, http.StatusOK)
	if err != nil {
		return "", err
	}
	return issued.Tickets[0], nil
}

// submitJobs submits jobs under the keys that awaitJobs reads.
func (c *callers) submitJobs(ctx context.Context, count int) error {
	payload, err := json.Marshal(struct {
		Work            time.Duration
		CheckpointEvery time.Duration
		Result          string
	}{2 * time.Second, 500 * time.Millisecond, "rota"})
	if err != nil {
		return err
	}
	for n := range count {
		spec := job.Spec{Class: "rota-build", Priority: job.Normal, Tasks: tasksPerJob, Payload: payload}
		body, err := json.Marshal(spec)
		if err != nil {
			return err
		}
		if _, err := callJSON[job.Answer](ctx, c, http.MethodPut, jobPath(n), body, http.StatusCreated); err != nil {
			return fmt.Errorf("submit job %d: %w", n, err)
		}
	}
	return nil
}

func jobPath(n int) string {
	return fmt.Sprintf("/jobs/clerks/week-%d", n)
}

// awaitJobs waits until the jobs have ended and counts their results.
func (c *callers) awaitJobs(ctx context.Context, count int) (Jobs, error) {
	counts := Jobs{Submitted: count, Tasks: count * tasksPerJob}
	for n := range count {
		answer, err := c.awaitJob(ctx, n)
		if err != nil {
			return counts, err
		}
		if answer.State == job.Succeeded {
			counts.Succeeded++
		}
		counts.Results += len(answer.Results)
	}
	return counts, nil
}

// awaitJob waits until a job has ended or is parked.
func (c *callers) awaitJob(ctx context.Context, n int) (job.Answer, error) {
	for {
		answer, err := callJSON[job.Answer](ctx, c, http.MethodGet, jobPath(n)+"?wait="+jobWait.String(), nil, http.StatusOK)
		if err != nil {
			return answer, fmt.Errorf("read job %d: %w", n, err)
		}
		if answer.State.IsFinal() || answer.State == job.Parked {
			return answer, nil
		}
	}
}

// awaitStarted waits until a task runs in the zone that is taken out of service, so that
// there is work to move.
func (c *callers) awaitStarted(ctx context.Context, jobs int) error {
	if jobs == 0 {
		return nil
	}
	return c.pollUntil(ctx, func() bool { return c.countRunning(zoneOut) > 0 })
}

// awaitMoved waits until the zone that is out of service runs no task and a job has
// moved to another zone.
func (c *callers) awaitMoved(ctx context.Context, jobs int) error {
	if jobs == 0 {
		return nil
	}
	return c.pollUntil(ctx, func() bool {
		return c.countRunning(zoneOut) == 0 && c.deployment.Counters()["Move.Done"] > 0
	})
}

// countRunning returns how many tasks run in a zone according to its workers' journals.
func (c *callers) countRunning(zone membership.Zone) int {
	tasks := map[protocol.TaskAttempt]bool{}
	for _, w := range c.deployment.Workers {
		if !strings.HasPrefix(string(w.ID), "worker-"+string(zone)) {
			continue
		}
		for _, event := range w.Journal.Entries() {
			switch event.Kind {
			case worker.EventStart, worker.EventResume:
				tasks[event.TaskAttempt] = true
			case worker.EventStop, worker.EventFinish, worker.EventLeaseExpiry:
				delete(tasks, event.TaskAttempt)
			}
		}
	}
	return len(tasks)
}

// pollUntil waits until done reports true.
func (c *callers) pollUntil(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.clock.After(pollInterval):
		}
	}
	return nil
}

// callJSON sends a request to the next entry instance and decodes its JSON answer. Any
// status but want is an error.
func callJSON[Answer any](ctx context.Context, c *callers, method, path string, body []byte, want int) (Answer, error) {
	var answer Answer
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.nextEntry()+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if response.StatusCode != want {
		return answer, fmt.Errorf("status %s: %s", response.Status, content)
	}
	return answer, json.Unmarshal(content, &answer)
}
