package main

import (
	"fmt"
	"time"
)

// Figures of the case many-ends.
const (
	manyEndsExecutors = 4
	manyEndsInstances = 3
	manyEndsJobs      = 6
	manyEndsTasks     = 1200
	manyEndsMilliCPU  = 200
	manyEndsDuration  = 250 * time.Millisecond
	manyEndsBefore    = 2 * time.Second
	manyEndsOutage    = 4500 * time.Millisecond
	manyEndsFinish    = 60 * time.Second
)

// runManyEnds hands in wide jobs of short tasks and lets the store be down for a while. The ends
// that can't be stored meanwhile exceed what an executor lists at a time.
func runManyEnds(j *judge, trouble bool) error {
	plan := func(string) taskPlan {
		return taskPlan{milliCPU: manyEndsMilliCPU, memoryMB: 256, duration: manyEndsDuration}
	}
	d, err := newDeployment(j, manyEndsExecutors, plan)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.startInstances(manyEndsInstances); err != nil {
		return err
	}
	var ids []string
	for n := range manyEndsJobs {
		id := fmt.Sprintf("%016x", 0x21b2c3d400000000+n)
		step := map[string]any{"count": manyEndsTasks, "cpu": manyEndsMilliCPU, "memoryRequestMb": 256, "estimatedMs": manyEndsDuration.Milliseconds()}
		if err := d.submit(id, map[string]any{"spec": "build " + id, "steps": []any{step}}); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	time.Sleep(manyEndsBefore)
	report(d, "before the outage")
	if trouble {
		j.note("the store answers 503")
		d.store.setDown(true)
	}
	time.Sleep(manyEndsOutage)
	report(d, "after the outage")
	if trouble {
		j.note("the store serves again")
		d.store.setDown(false)
	}
	d.awaitEnd(ids, manyEndsFinish)
	report(d, "at the end")
	return nil
}

// report records how many starts and ends there were, and how many ends each executor keeps.
func report(d *deployment, when string) {
	starts, done := d.judge.counts()
	d.judge.note("%s: %d starts, %d ended as done", when, starts, done)
	for _, e := range d.executors {
		e.lock.Lock()
		d.judge.note("    %s keeps %d unobserved ends, %d runs", e.id, len(e.ends), len(e.running))
		e.lock.Unlock()
	}
}
