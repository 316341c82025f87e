package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	// clientRetries is how often a client sends a request again.
	clientRetries = 4
	retryPause    = 200 * time.Millisecond
	askInterval   = time.Second
)

// body returns the job as a client submits it.
func (j *job) body() []byte {
	steps := []map[string]any{}
	for _, s := range j.steps {
		step := map[string]any{"count": s.count, "cpu": s.cpu, "memoryRequestMb": s.memory, "estimatedMs": s.duration.Milliseconds()}
		if len(s.after) > 0 {
			step["after"] = s.after
		}
		if s.lasting {
			step["longRunning"] = true
		}
		steps = append(steps, step)
	}
	content := map[string]any{"spec": j.spec, "steps": steps}
	if j.repetitions > 0 {
		content["repetitions"], content["firstRunMs"], content["intervalMs"] = j.repetitions, j.firstRun.UnixMilli(), j.interval.Milliseconds()
	}
	encoded, _ := json.Marshal(content)
	return encoded
}

// call sends a request of a client and returns the status, 0 for none, and the body.
func (d *deployment) call(ctx context.Context, method, id string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	name, address := d.frontend()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	started := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.write("client %s %s at %s: no answer after %v", method, id, name, time.Since(started).Round(time.Millisecond))
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	d.record.write("client %s %s at %s: %d after %v %s", method, id, name, response.StatusCode,
		time.Since(started).Round(time.Millisecond), bytes.TrimSpace(answer))
	return response.StatusCode, answer
}

// submit hands a job in. It sends it again after no answer, a 502 or a 504, and after a refusal.
func (d *deployment) submit(ctx context.Context, j *job) {
	d.world.add(j)
	for range clientRetries + 1 {
		status, _ := d.call(ctx, http.MethodPost, j.id, j.body())
		d.world.lock.Lock()
		switch {
		case status >= 200 && status < 300:
			j.acceptedAt = time.Now()
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			j.refused++
		default:
			j.unanswered++
		}
		d.world.lock.Unlock()
		if status >= 200 && status < 300 || status == http.StatusBadRequest || ctx.Err() != nil {
			return
		}
		time.Sleep(retryPause)
	}
}

// ask asks for the state of a job.
func (d *deployment) ask(ctx context.Context, j *job) (status int) {
	status, answer := d.call(ctx, http.MethodGet, j.id, nil)
	var content struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &content) != nil {
		return status
	}
	d.world.lock.Lock()
	defer d.world.lock.Unlock()
	if content.State != j.state {
		j.state, j.shownAt = content.State, time.Now()
	}
	if j.state == "completed" && len(j.done) < j.taskCount() {
		d.world.find("MIXED", "job %s is shown as completed, but only %d of %d tasks are done", j.id, len(j.done), j.taskCount())
	}
	return status
}

// follow asks for the state of an accepted job until it is final or ctx ends.
func (d *deployment) follow(ctx context.Context, j *job) {
	for ctx.Err() == nil && !j.acceptedAt.IsZero() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(askInterval):
		}
		d.ask(ctx, j)
		d.world.lock.Lock()
		final := j.state == "completed" || j.state == "failed" || j.state == "cancelled"
		d.world.lock.Unlock()
		if final {
			return
		}
	}
}

// smallJob returns a job like those that clients hand in all the time.
func (d *deployment) smallJob() *job {
	d.lock.Lock()
	id := fmt.Sprintf("%016x", d.random.Uint64())
	d.lock.Unlock()
	return &job{id: id, spec: "spec of " + id, steps: []stepPlan{
		{count: 3, cpu: 1000, memory: 512, duration: 300 * time.Millisecond},
		{count: 2, cpu: 1000, memory: 512, duration: 300 * time.Millisecond, after: []int{0}},
	}}
}

// traffic hands in small jobs at an interval until ctx ends, and waits for their clients, which ask
// for the states until asking ends.
func (d *deployment) traffic(ctx, asking context.Context, interval time.Duration) {
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			clients.Go(func() {
				j := d.smallJob()
				d.submit(asking, j)
				d.follow(asking, j)
			})
		}
	}
	clients.Wait()
}
