package main

import (
	"fmt"
	"strings"
	"time"
)

// Figures of the case leaving-cut.
const (
	leavingExecutors = 16
	leavingInstances = 3
	longTasks        = 64
	longDuration     = 15 * time.Second
	shortTasks       = 192
	shortDuration    = 7 * time.Second
	leavingMilliCPU  = 1000
	leavingBefore    = 3 * time.Second
	// drainAfterHold is how long after a renewal of the leases the executor reports draining. The
	// owner renews them about once a second, so the cut follows soon after a renewal.
	drainAfterHold = 650 * time.Millisecond
	// cutAfterHeartbeat is how long after the last heartbeat the executor is cut off.
	cutAfterHeartbeat = 1400 * time.Millisecond
	leavingCutTime    = 5500 * time.Millisecond
	leavingLinger     = 9 * time.Second
	leavingFinish     = 60 * time.Second
)

const (
	longJob  = "a1b2c3d4e5f60001"
	shortJob = "a1b2c3d4e5f60002"
)

// runLeavingCut drains an executor while all others are full, and cuts it off before it has left.
// Its entry expires before the leases of its runs do.
func runLeavingCut(j *judge, trouble bool) error {
	plan := func(task string) taskPlan {
		p := taskPlan{milliCPU: leavingMilliCPU, memoryMB: 2000, duration: shortDuration}
		if strings.HasPrefix(task, longJob) {
			p.duration = longDuration
		}
		return p
	}
	d, err := newDeployment(j, leavingExecutors, plan)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.startInstances(leavingInstances); err != nil {
		return err
	}
	step := func(count int, duration time.Duration) map[string]any {
		s := map[string]any{"count": count, "cpu": leavingMilliCPU, "memoryRequestMb": 2000, "estimatedMs": duration.Milliseconds()}
		return map[string]any{"spec": fmt.Sprint("build ", count), "steps": []any{s}}
	}
	if err := d.submit(longJob, step(longTasks, longDuration)); err != nil {
		return err
	}
	if err := d.submit(shortJob, step(shortTasks, shortDuration)); err != nil {
		return err
	}
	time.Sleep(leavingBefore)
	leaver := d.executors[2]
	if trouble {
		leaver.awaitHold()
		time.Sleep(drainAfterHold)
		j.note("%s reports draining", leaver.id)
		leaver.drain()
		time.Sleep(cutAfterHeartbeat)
		j.note("%s is cut off and runs on", leaver.id)
		leaver.setCut(true)
		time.Sleep(leavingCutTime)
		j.note("the cut has healed")
		leaver.setCut(false)
		time.Sleep(leavingLinger - leavingCutTime - cutAfterHeartbeat)
		j.note("%s leaves", leaver.id)
		leaver.leave()
	} else {
		time.Sleep(leavingLinger)
	}
	d.awaitEnd([]string{longJob, shortJob}, leavingFinish)
	return nil
}
