package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	trafficInterval = 250 * time.Millisecond
	// trafficTime is how long jobs are handed in, and finishTime the bound finish_s.
	trafficTime = 60 * time.Second
	finishTime  = 14 * time.Second
	// foreignAt is when the other writer puts its entry, after the start of the traffic.
	foreignAt = 12 * time.Second
	// foreignLabels is the number of labels of that entry.
	foreignLabels = 2000
)

// foreignEntry returns an entry of another writer: its service isn't named by the platform's pages
// or the configuration, and its labels describe something else.
func foreignEntry(address string) []byte {
	labels := make([]string, foreignLabels)
	for i := range labels {
		labels[i] = fmt.Sprintf("peer=%d&weight=%d&up=1", 10000+i, i%7)
	}
	value, _ := json.Marshal(map[string]any{
		"service": "edge-cache", "address": address, "zone": "kzn-dbn", "version": "4.1", "slots": 1, "state": "ready",
		"capacity": map[string]any{"cpu": 0, "memoryRequestMb": 0, "gpu": 0}, "labels": labels, "sequence": 1,
	})
	// Most JSON encoders write ampersands as themselves.
	return bytes.ReplaceAll(value, []byte(`\u0026`), []byte("&"))
}

// playForeignEntry has another writer put an entry into the list of executors.
func playForeignEntry(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return verdict{}, err
	}
	other := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = other.Serve(listener) }()
	defer other.Close()
	sending, cancelSending := context.WithTimeout(ctx, trafficTime)
	defer cancelSending()
	asking, cancelAsking := context.WithTimeout(ctx, trafficTime+finishTime)
	defer cancelAsking()
	if trouble {
		d.group.Go(func() {
			select {
			case <-asking.Done():
				return
			case <-time.After(foreignAt):
			}
			value := foreignEntry(listener.Addr().String())
			d.record.write("another writer puts servers/i-edge-cache-1 of %d bytes, service edge-cache", len(value))
			d.store.put("servers", "", "i-edge-cache-1", value)
		})
	}
	d.traffic(sending, asking, trafficInterval)
	return d.judgeStandstill(ctx), nil
}

// standstill is the time for which a job may have nothing running: 3 s.
const standstill = 3 * time.Second

// judgeStandstill checks the rule on accepted jobs that have nothing running although it is a task's
// turn and there is room, once finish_s has passed since the end of the traffic.
func (d *deployment) judgeStandstill(ctx context.Context) verdict {
	from := time.Now()
	d.record.write("the jobs are watched for %v", standstill)
	idle := d.world.idleJobs(from)
	mostUsed := 0
	for ctx.Err() == nil && time.Since(from) < standstill {
		mostUsed = max(mostUsed, d.usedPercent())
		idle = intersect(idle, d.world.idleJobs(from))
		time.Sleep(20 * time.Millisecond)
	}
	ends := d.judgeEnds()
	text := fmt.Sprintf("%d accepted jobs had nothing running for %v although it was a task's turn, while at most %d%% of the capacity was in use; %s",
		len(idle), standstill, mostUsed, ends.text)
	for _, id := range idle[:min(len(idle), maxShownFinds)] {
		d.record.write("job %s stands still", id)
	}
	return verdict{broken: len(idle) > 0 && mostUsed < 50, text: text}
}

// intersect returns the values that are in both lists.
func intersect(a, b []string) []string {
	return slices.DeleteFunc(a, func(id string) bool { return !slices.Contains(b, id) })
}

// usedPercent returns the share of the executors' processors that runs use.
func (d *deployment) usedPercent() int {
	used, all := int64(0), int64(0)
	for _, e := range d.executors {
		e.lock.Lock()
		all += e.cpu
		for _, r := range e.runs {
			used += r.plan.cpu
		}
		e.lock.Unlock()
	}
	return int(100 * used / all)
}

// maxLateEnds is the share of the ends that may not be taken note of in time: a fifth.
const maxLateEnds = 5

// judgeEnds checks the rule on the ends that executors list.
func (d *deployment) judgeEnds() verdict {
	late, all := d.world.endsNotNoted(time.Now())
	unfinished, allDone, accepted := d.world.unfinished()
	text := fmt.Sprintf("of %d ends that executors listed, %d weren't taken note of within %v; "+
		"of %d accepted jobs, %d weren't shown as completed within %v after the traffic, %d of these had all tasks done; "+
		"the store refused %d transactions; other findings: %d",
		all, late, ackTimeout, accepted, unfinished, finishTime, allDone, d.store.refused, len(d.world.findings))
	return verdict{broken: late*maxLateEnds > all, text: text}
}
