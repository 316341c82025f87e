package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// manySteps, manyRepetitions and manyInterval describe the repeated job: fewRepetitions without
	// the trouble.
	manySteps       = 4
	manyRepetitions = 625
	fewRepetitions  = 480
	manyInterval    = 500 * time.Millisecond
	manyDuration    = 40 * time.Millisecond
	// manyAge is how long before the submission the first occurrence was due.
	manyAge = 215 * time.Second
	// manyTrafficTime is how long jobs are handed in beside it.
	manyTrafficTime = 75 * time.Second
)

// playManyOccurrences hands in a job of a few small steps that runs many times.
func playManyOccurrences(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	repeated := &job{
		id: fmt.Sprintf("%016x", d.random.Uint64()), spec: "the repeated job", repetitions: fewRepetitions,
		firstRun: time.Now().Add(-manyAge), interval: manyInterval,
	}
	if trouble {
		repeated.repetitions = manyRepetitions
	}
	for i := range manySteps {
		s := stepPlan{count: 1, cpu: 500, memory: 256, duration: manyDuration}
		if i > 0 {
			s.after = []int{i - 1}
		}
		repeated.steps = append(repeated.steps, s)
	}
	sending, cancelSending := context.WithTimeout(ctx, manyTrafficTime)
	defer cancelSending()
	asking, cancelAsking := context.WithTimeout(ctx, manyTrafficTime+finishTime)
	defer cancelAsking()
	d.group.Go(func() {
		d.submit(asking, repeated)
		d.follow(asking, repeated)
	})
	d.traffic(sending, asking, trafficInterval)
	return d.judgeEnds(), nil
}
