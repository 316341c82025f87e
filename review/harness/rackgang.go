package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the case rack-gang.
const (
	rackExecutors  = 9
	rackInstances  = 3
	rackGangTasks  = 3
	rackMilliCPU   = 14000
	rackDuration   = 2 * time.Second
	rackBefore     = 2 * time.Second
	rackAfterCrash = 8 * time.Second
	// rackWatch is how long the case watches for a start: finish_s, and the 3 s of the rule.
	rackWatch  = 17 * time.Second
	rackFinish = 10 * time.Second
)

const rackGangJob = "a1b2c3d4e5f60003"

// runRackGang hands in a gang that fits on each of three racks. Before that, one executor of the
// rack that holds the executor with the lowest id is lost for good.
func runRackGang(j *judge, trouble bool) error {
	plan := func(string) taskPlan {
		return taskPlan{milliCPU: rackMilliCPU, memoryMB: 4000, duration: rackDuration}
	}
	d, err := newDeployment(j, rackExecutors, plan)
	if err != nil {
		return err
	}
	defer d.close()
	for _, e := range d.executors {
		j.note("%v, rack %s, %d milli-cores", e, e.rack, executorMilliCPU)
	}
	if err := d.startInstances(rackInstances); err != nil {
		return err
	}
	time.Sleep(rackBefore)
	if trouble {
		lost := d.executors[len(zones)]
		j.note("%s crashes and is lost for good", lost.id)
		lost.leave()
	}
	time.Sleep(rackAfterCrash)
	step := map[string]any{
		"count": rackGangTasks, "cpu": rackMilliCPU, "memoryRequestMb": 4000, "estimatedMs": rackDuration.Milliseconds(),
		"gang": true, "sameRack": true,
	}
	if err := d.submit(rackGangJob, map[string]any{"spec": "weekly rota", "steps": []any{step}}); err != nil {
		return err
	}
	time.Sleep(rackWatch)
	if starts := j.startsOf(rackGangJob); starts == 0 {
		j.fail("LOST %s: accepted, and no task has started for %v, with every executor that is left empty", rackGangJob, rackWatch)
	}
	d.awaitEnd([]string{rackGangJob}, rackFinish)
	return nil
}

// startsOf returns how many runs of a job have started.
func (j *judge) startsOf(job string) (starts int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	for task, runs := range j.runs {
		if strings.HasPrefix(task, job+".") {
			starts += len(runs)
		}
	}
	return starts
}

// fail records that a rule other than TWICE was broken.
func (j *judge) fail(format string, args ...any) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.failures++
	j.write("%s", fmt.Sprintf(format, args...))
}
