package main

import (
	"context"
	"fmt"
	"math"
	"time"
)

const (
	// farDateMs is the latest date that a JavaScript client can express, in milliseconds: a job
	// that is never due.
	farDateMs = 8_640_000_000_000_000
	// farInterval is the time between two such jobs, and farOtherInterval that between two others: of
	// all jobs 0.048 are such ones.
	farInterval      = 1250 * time.Millisecond
	farOtherInterval = 62500 * time.Microsecond
	farTrafficTime   = 60 * time.Second
	// selfEnds is how often a process may not end by itself, on minEnded instances.
	selfEnds = 3
	minEnded = 2
)

// playFarDate hands in jobs that are due in the far future.
func playFarDate(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	sending, cancelSending := context.WithTimeout(ctx, farTrafficTime)
	defer cancelSending()
	asking, cancelAsking := context.WithTimeout(ctx, farTrafficTime+finishTime)
	defer cancelAsking()
	d.group.Go(func() {
		for sending.Err() == nil {
			j := d.smallJob()
			j.repetitions, j.firstRun, j.interval = 1, time.Now().Add(maxSleep), time.Second
			if trouble {
				j.firstRun = time.UnixMilli(farDateMs)
			}
			d.group.Go(func() { d.submit(sending, j) })
			select {
			case <-sending.Done():
			case <-time.After(farInterval):
			}
		}
	})
	d.traffic(sending, asking, farOtherInterval)
	d.lock.Lock()
	defer d.lock.Unlock()
	ended, total := 0, 0
	for _, i := range d.instances {
		total += i.ends
		if i.ends >= selfEnds {
			ended++
		}
	}
	text := fmt.Sprintf("processes ended by themselves %d times; on %d of %d instances at least %d times", total, ended, len(d.instances), selfEnds)
	return verdict{broken: ended >= max(minEnded, int(math.Ceil(float64(len(d.instances))/10))), text: text}, nil
}
