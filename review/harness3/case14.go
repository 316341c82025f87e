package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The disruption of case 14: srv_crash. One of twelve executors, of the share 0.14 that is allowed, is down for
// crashFor and then starts again under the same id, as another kind.
const (
	crashFor      = 1500 * time.Millisecond
	crashInterval = 9 * time.Second
	wantedKind    = "b"
	otherKinds    = "a"
	wantedCount   = 4
)

// otherKind hands in jobs that require executors of one kind. An executor of that kind crashes and starts again as
// another kind. No task that requires the first kind may start on it from then on.
func otherKind(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	defer d.close()
	work := &tasks{record: rec, lasts: 3 * time.Second, cpu: 4000, memMB: 4000}
	d.putConfig(3)
	for i := range 12 {
		kind := otherKinds
		if i < wantedCount {
			kind = wantedKind
		}
		if err := d.addExecutor([]string{kind, "r1-1"}, work); err != nil {
			return nil, err
		}
	}
	if err := d.startNodes(7); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { d.handInRequiring(stop, &clients) })
	time.Sleep(crashInterval)
	for i := range 2 {
		if trouble {
			e := d.executors[i]
			e.crash()
			time.Sleep(crashFor)
			if err := e.boot([]string{otherKinds, "r1-1"}); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashInterval)
	}
	close(stop)
	clients.Wait()

	work.lock.Lock()
	defer work.lock.Unlock()
	if len(work.starts) == 0 {
		return nil, errors.New("nothing has started")
	}
	rec.say("%d starts", len(work.starts))
	var broken []string
	for _, s := range work.starts {
		if s.labels[0] != wantedKind {
			broken = append(broken, fmt.Sprintf("ROUTE: %s requires label %q and started on %s, whose labels are %v, %d ms after that life began",
				s.task, wantedKind, s.executor.id, s.labels, s.at.Sub(s.born).Milliseconds()))
		}
	}
	return broken, nil
}

// handInRequiring hands in jobs of four tasks, each of which requires the wanted kind, at the rate at which its
// executors can just run them.
func (d *deployment) handInRequiring(stop chan struct{}, clients *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(800 * time.Millisecond):
		}
		n := d.nodes[i%len(d.nodes)]
		clients.Go(func() {
			id := jobID()
			d.call(n, "POST", id, job{"spec": "rota " + id, "steps": []map[string]any{
				{"count": 4, "cpu": 4000, "memoryRequestMb": 4000, "estimatedMs": 3000, "requirements": wantedKind},
			}}, 3*time.Second)
		})
	}
}
