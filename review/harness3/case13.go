package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The disruption of case 13: platform_lost, x 0.35, for 4.5 s, late (done 1 to 6 s later).
const (
	lostShare   = 0.35
	lostFor     = 4500 * time.Millisecond
	earliest    = time.Second
	latest      = 6 * time.Second
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
)

// cancelledJob is a job whose cancelling was acknowledged.
type cancelledJob struct {
	id       string
	handedIn answer
	cancel   answer
	at       time.Time
}

// cancelledAfterTimeout hands in jobs while answers of the store are lost. A client that isn't told that its job
// was accepted cancels it. So does one client in four whose job was accepted, a second later. No task of these
// jobs may start later than cancel_ms after the acknowledgement, by a machine in touch.
func cancelledAfterTimeout(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	defer d.close()
	work := &tasks{record: rec, lasts: 3 * time.Second, cpu: 1000, memMB: 1000}
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

	cancelled := make(chan cancelledJob, 100)
	var clients sync.WaitGroup
	if trouble {
		rec.say("answers of the store are lost from now on, for %s", lostFor)
		d.store.setLate(&lateWrites{lostShare, earliest, latest})
	}
	lossEnds := time.Now().Add(lostFor)
	for i := 0; time.Now().Before(lossEnds); i++ {
		clients.Go(func() {
			if c, ok := d.handInAndCancel(i); ok {
				cancelled <- c
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	d.store.setLate(nil)
	rec.say("the store answers again")
	clients.Wait()
	close(cancelled)
	// The last late write is done latest after the end of the loss. From contactMs after that on, all
	// machines are in touch.
	inTouch := lossEnds.Add(latest + contactTime)
	time.Sleep(time.Until(inTouch.Add(12 * time.Second)))

	var broken []string
	count := map[string]int{}
	for c := range cancelled {
		count[fmt.Sprintf("handed in: %d, cancelled: %d", c.handedIn.status, c.cancel.status)]++
		if c.cancel.status != 410 && c.cancel.status/100 != 2 {
			continue
		}
		for _, s := range work.startsOf(c.id) {
			if s.at.After(c.at.Add(cancelTime)) && s.at.After(inTouch) {
				broken = append(broken, fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged with %d, and %s started %.1f s later on %s",
					c.id, c.cancel.status, s.task, s.at.Sub(c.at).Seconds(), s.executor.id))
				break
			}
		}
	}
	rec.say("cancelled jobs by the answers to POST and DELETE: %v", count)
	return broken, nil
}

// handInAndCancel hands a job in, and cancels it if it isn't known to be accepted, or if it is one of four.
func (d *deployment) handInAndCancel(number int) (cancelledJob, bool) {
	id := jobID()
	steps := []map[string]any{}
	for i := range 6 {
		s := map[string]any{"count": 1, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 3000}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		steps = append(steps, s)
	}
	first := rand.IntN(len(d.nodes))
	c := cancelledJob{id: id}
	c.handedIn = d.call(d.nodes[first], "POST", id, job{"spec": "rota " + id, "steps": steps}, 3*time.Second)
	switch {
	case c.handedIn.status/100 == 2 && number%4 == 0:
		time.Sleep(time.Second)
	case c.handedIn.status/100 == 2, c.handedIn.status == 429, c.handedIn.status == 503:
		// Accepted, or never to run.
		return c, false
	}
	for attempt := 1; attempt <= 5; attempt++ {
		c.cancel = d.call(d.nodes[(first+attempt)%len(d.nodes)], "DELETE", id, nil, 3*time.Second)
		c.at = time.Now()
		if c.cancel.status/100 == 2 || c.cancel.status == 410 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return c, true
}
