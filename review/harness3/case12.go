package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// scheduleCount jobs are handed in within handInFor, up to ten a second, as many as all clients of chairrota
	// hand in together.
	scheduleCount = 200
	handInPause   = 100 * time.Millisecond
	handInFor     = 40 * time.Second
	// longSchedule is the number of repetitions of a job: once an hour for about six weeks.
	longSchedule  = 1000
	shortSchedule = 6
	// restartDelay is the "short delay" of DEPLOY.md, Ends. The bench's kinds have machines back within 1.5 s.
	restartDelay = 1500 * time.Millisecond
	watchFor     = 30 * time.Second
	// RULES.md, Fault: "on a tenth of the machines in use (two at least) processes end by themselves three
	// times".
	maxMachines   = 2
	endsByMachine = 3
)

// scheduledJobs hands in jobs that run once an hour. The platform kills each process that uses more memory
// than its machine has, and starts it again. Without trouble, the jobs have fewer repetitions.
func scheduledJobs(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	defer d.close()
	work := &tasks{record: rec, lasts: time.Second, cpu: 100, memMB: 100}
	d.putConfig(3)
	for range 12 {
		if err := d.addExecutor([]string{"a", "r1-1"}, work); err != nil {
			return nil, err
		}
	}
	if err := d.startNodes(7); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)

	p := &memoryWatch{deployment: d, stop: make(chan struct{}), kills: map[string]int{}, peaks: map[string]int{}}
	var watch sync.WaitGroup
	watch.Go(p.run)
	repetitions := longSchedule
	if !trouble {
		repetitions = shortSchedule
	}
	answers := map[string]int{}
	handInEnds := time.Now().Add(handInFor)
	for i := 0; i < scheduleCount && time.Now().Before(handInEnds); i++ {
		id := jobID()
		a := d.call(d.nodes[i%len(d.nodes)], "POST", id, job{
			"spec": "rota " + id, "repetitions": repetitions, "intervalMs": time.Hour.Milliseconds(),
			"firstRunMs": time.Now().Add(time.Hour).UnixMilli(),
			"steps":      []map[string]any{{"count": 2, "cpu": 100, "memoryRequestMb": 100, "estimatedMs": 1000}},
		}, 3*time.Second)
		answers[fmt.Sprint(a.status)]++
		time.Sleep(handInPause)
	}
	rec.say("answers to POST: %v", answers)
	time.Sleep(watchFor)
	close(p.stop)
	watch.Wait()
	if answers["200"] == 0 {
		return nil, errors.New("no job was accepted")
	}
	rec.say("highest memory in MB by machine: %v; processes killed for their memory: %v", p.peaks, p.kills)
	often := 0
	for _, kills := range p.kills {
		if kills >= endsByMachine {
			often++
		}
	}
	if often >= maxMachines {
		return []string{fmt.Sprintf("Fault: on %d of %d machines processes ended three times or more for memory over the limit", often, len(d.nodes))}, nil
	}
	return nil, nil
}

// memoryWatch is the part of the platform that enforces totalMemoryMb.
type memoryWatch struct {
	deployment *deployment
	stop       chan struct{}
	kills      map[string]int
	peaks      map[string]int
}

func (p *memoryWatch) run() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, n := range p.deployment.nodes {
			used := n.residentMB()
			p.peaks[n.name] = max(p.peaks[n.name], used)
			if used <= totalMemoryMB {
				continue
			}
			p.kills[n.name]++
			p.deployment.record.say("platform: %s uses %d MB of %d and is killed", n.name, used, totalMemoryMB)
			n.kill()
			time.AfterFunc(restartDelay, func() {
				if err := n.start(); err != nil {
					p.deployment.record.say("%s can't be started: %v", n.name, err)
				}
			})
		}
	}
}
