package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/caller/service"
)

const (
	// tasksPerJob is the number of tasks of each batch job.
	tasksPerJob = 10
	// taskWork is the run time of a batch task.
	taskWork = 500 * time.Millisecond
	// answerBytes is the size of the answer that each request asks for.
	answerBytes = 1000
	// timeoutMargin is how long the caller waits for an answer after the timeout of its
	// request.
	timeoutMargin = 2 * time.Second
	// tickInterval is how often the sender checks whether a request is due.
	tickInterval = time.Millisecond
)

// sender sends requests and jobs and counts their outcomes.
type sender struct {
	opts    *Options
	targets []string
	clock   clockwork.Clock
	client  *http.Client

	// mu guards step, latency and inFlight.
	mu       sync.Mutex
	step     Step
	latency  *hdrhistogram.Histogram
	inFlight int
	group    sync.WaitGroup
}

func newSender(opts *Options, targets []string) *sender {
	return &sender{
		opts: opts, targets: targets, clock: opts.Factory.Clock,
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight},
			Timeout:   opts.Timeout + timeoutMargin,
		},
	}
}

// runStep sends the requests and jobs of one step and waits for their answers.
func (s *sender) runStep(ctx context.Context, rate float64) Step {
	s.step = Step{Rate: rate, Refused: map[string]int{}, Failed: map[string]int{}}
	s.latency = hdrhistogram.New(1, (s.opts.Timeout + 2*timeoutMargin).Microseconds(), 3)
	s.group.Go(func() { s.submitJobs(ctx) })
	s.sendAtRate(ctx, rate, func(n int, due time.Time) {
		if !s.admit() {
			return
		}
		s.group.Go(func() { s.send(ctx, s.targetFor(n), due) })
	})
	s.group.Wait()
	s.step.summarize(s.latency, s.opts.Duration)
	return s.step
}

// sendAtRate calls send at a fixed rate for the duration of a step, with the number and
// the due time of each call.
func (s *sender) sendAtRate(ctx context.Context, rate float64, send func(n int, due time.Time)) {
	if rate <= 0 {
		return
	}
	started := s.clock.Now()
	ticker := s.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	interval := time.Duration(float64(time.Second) / rate)
	for n := 0; time.Duration(n)*interval < s.opts.Duration; {
		due := started.Add(time.Duration(n) * interval)
		if !s.clock.Now().Before(due) {
			send(n, due)
			n++
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// targetFor returns the entry instance that gets the request or job with the given
// number.
func (s *sender) targetFor(n int) string {
	if s.opts.Skew > 0 && n%100 < s.opts.Skew || len(s.targets) == 1 {
		return s.targets[0]
	}
	if s.opts.Skew > 0 {
		return s.targets[1+n%(len(s.targets)-1)]
	}
	return s.targets[n%len(s.targets)]
}

// admit counts a request that is due and reports whether it may be sent.
func (s *sender) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step.Due++
	if s.inFlight >= maxInFlight {
		s.step.NotSent++
		return false
	}
	s.inFlight++
	return true
}

// send sends one request and counts its outcome.
func (s *sender) send(ctx context.Context, target string, due time.Time) {
	outcome, reason := s.request(ctx, target)
	latency := s.clock.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch outcome {
	case string(service.Completed):
		s.step.Completed++
		if latency <= s.opts.Timeout {
			s.step.InTime++
		}
		// The histogram covers the time that a caller waits; longer latencies count as its
		// highest value.
		_ = s.latency.RecordValue(min(latency.Microseconds(), s.latency.HighestTrackableValue()))
	case string(service.NotRun):
		s.step.Refused[reason]++
	default:
		s.step.Failed[reason]++
	}
}

// request sends one request and returns its outcome and the reason for it.
func (s *sender) request(ctx context.Context, target string) (outcome, reason string) {
	url := fmt.Sprintf("http://%s/services/%s/load?work=%s&size=%d", target, serviceName, s.opts.Work, answerBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return "", "Invalid"
	}
	request.Header.Set("Jacinthtrail-Timeout", s.opts.Timeout.String())
	response, err := s.client.Do(request)
	if err != nil {
		return "", "NoAnswer"
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	outcome, reason = response.Header.Get(service.HeaderOutcome), response.Header.Get(service.HeaderReason)
	if outcome == string(service.Completed) && (err != nil || size != answerBytes) {
		return "", "Truncated"
	}
	return outcome, reason
}

// submitJobs submits batch jobs at the rate that the options give.
func (s *sender) submitJobs(ctx context.Context) {
	payload, err := json.Marshal(struct{ Work time.Duration }{taskWork})
	if err != nil {
		return
	}
	body, err := json.Marshal(job.Spec{Class: className, Priority: job.Normal, Tasks: tasksPerJob, Payload: payload})
	if err != nil {
		return
	}
	s.sendAtRate(ctx, s.opts.JobRate/tasksPerJob, func(n int, _ time.Time) {
		s.group.Go(func() { s.submit(ctx, s.targetFor(n), body) })
	})
}

// submit submits one batch job and counts whether it was accepted.
func (s *sender) submit(ctx context.Context, target string, body []byte) {
	url := fmt.Sprintf("http://%s/jobs/%s/%s", target, teamName, uuid.NewString())
	accepted := false
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err == nil {
		var response *http.Response
		if response, err = s.client.Do(request); err == nil {
			accepted = response.StatusCode == http.StatusCreated
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if accepted {
		s.step.JobsAccepted++
		return
	}
	s.step.JobsNotAccepted++
}
