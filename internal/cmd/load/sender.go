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
	// answerBytes is the size of an answer.
	answerBytes = 1000
	// grace is added to the timeout of a request before its caller gives up.
	grace = 2 * time.Second
	// pause bounds how often the sender looks at the clock.
	pause = time.Millisecond
)

// sender sends requests and jobs and counts what comes of them.
type sender struct {
	opts    *Options
	targets []string
	clock   clockwork.Clock
	client  *http.Client

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
			Timeout:   opts.Timeout + grace,
		},
	}
}

// run sends one step and waits for its answers.
func (s *sender) run(ctx context.Context, rate float64) Step {
	s.step = Step{Rate: rate, Refused: map[string]int{}, Failed: map[string]int{}}
	s.latency = hdrhistogram.New(1, (s.opts.Timeout + 2*grace).Microseconds(), 3)
	s.group.Go(func() { s.submitJobs(ctx) })
	s.pace(ctx, rate, func(n int, due time.Time) {
		if !s.enter() {
			return
		}
		s.group.Go(func() { s.send(ctx, s.target(n), due) })
	})
	s.group.Wait()
	s.step.finish(s.latency, s.opts.Duration)
	return s.step
}

// pace calls send for each due time of a fixed rate.
func (s *sender) pace(ctx context.Context, rate float64, send func(n int, due time.Time)) {
	if rate <= 0 {
		return
	}
	began := s.clock.Now()
	ticker := s.clock.NewTicker(pause)
	defer ticker.Stop()
	gap := time.Duration(float64(time.Second) / rate)
	for n := 0; time.Duration(n)*gap < s.opts.Duration; {
		due := began.Add(time.Duration(n) * gap)
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

// target returns the entry instance of the request with a number.
func (s *sender) target(n int) string {
	if s.opts.Skew > 0 && n%100 < s.opts.Skew || len(s.targets) == 1 {
		return s.targets[0]
	}
	if s.opts.Skew > 0 {
		return s.targets[1+n%(len(s.targets)-1)]
	}
	return s.targets[n%len(s.targets)]
}

// enter counts a request that is due and reports whether it may be sent.
func (s *sender) enter() bool {
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

func (s *sender) send(ctx context.Context, target string, due time.Time) {
	outcome, reason := s.request(ctx, target)
	took := s.clock.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch outcome {
	case string(service.Completed):
		s.step.Completed++
		if took <= s.opts.Timeout {
			s.step.InTime++
		}
		// The histogram is as long as a caller waits; a longer time is counted as that.
		_ = s.latency.RecordValue(min(took.Microseconds(), s.latency.HighestTrackableValue()))
	case string(service.NotRun):
		s.step.Refused[reason]++
	default:
		s.step.Failed[reason]++
	}
}

// request sends one request and returns its outcome with the reason.
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
	read, err := io.Copy(io.Discard, response.Body)
	outcome, reason = response.Header.Get(service.HeaderOutcome), response.Header.Get(service.HeaderReason)
	if outcome == string(service.Completed) && (err != nil || read != answerBytes) {
		return "", "Truncated"
	}
	return outcome, reason
}

// submitJobs submits batch jobs at the rate of the options.
func (s *sender) submitJobs(ctx context.Context) {
	payload, err := json.Marshal(struct{ Work time.Duration }{taskWork})
	if err != nil {
		return
	}
	body, err := json.Marshal(job.Spec{Class: className, Priority: job.Normal, Tasks: tasksPerJob, Payload: payload})
	if err != nil {
		return
	}
	s.pace(ctx, s.opts.JobRate/tasksPerJob, func(n int, _ time.Time) {
		s.group.Go(func() { s.submit(ctx, s.target(n), body) })
	})
}

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
