package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// earlyDue is when the scheduled job is due, after its submission, and earlyBatch how long the
	// batch step of the other job takes.
	earlyDue   = 70 * time.Second
	earlyBatch = 65 * time.Second
	// rollAt is when the instances begin to be stopped in turn, rollGap the time between two of
	// them.
	rollAt       = 10 * time.Second
	rollGap      = 2 * time.Second
	earlyTraffic = 60 * time.Second
	startupTime  = 400 * time.Millisecond
)

// playEarlyStart hands in a job of lasting tasks that is due later, and one whose lasting tasks come
// after a batch step, and stops and starts all instances in turn.
func playEarlyStart(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	lasting := stepPlan{count: 3, cpu: 1000, memory: 512, duration: startupTime, lasting: true}
	second := lasting
	second.after = []int{1}
	scheduled, staged := d.smallJob(), d.smallJob()
	scheduled.steps = []stepPlan{lasting}
	scheduled.repetitions, scheduled.firstRun, scheduled.interval = 1, time.Now().Add(earlyDue), time.Hour
	staged.steps = []stepPlan{lasting, {count: 1, cpu: 1000, memory: 512, duration: earlyBatch}, second}
	sending, cancelSending := context.WithTimeout(ctx, earlyTraffic)
	defer cancelSending()
	asking, cancelAsking := context.WithTimeout(ctx, earlyTraffic+finishTime)
	defer cancelAsking()
	d.group.Go(func() { d.submit(asking, scheduled) })
	d.group.Go(func() { d.submit(asking, staged) })
	if trouble {
		d.group.Go(func() { d.roll(asking) })
	}
	d.traffic(sending, asking, trafficInterval)
	findings := d.world.findingsOf("ORDER")
	text := fmt.Sprintf("%d starts before their time or before the steps that come first", len(findings))
	for _, f := range findings[:min(len(findings), maxShownFinds)] {
		text += "\n" + f
	}
	return verdict{broken: len(findings) > 0, text: text}, nil
}

// roll stops all instances in turn. The platform starts each again once it has ended.
func (d *deployment) roll(ctx context.Context) {
	wait := rollAt
	for _, i := range d.instances {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		d.terminate(i)
		wait = rollGap
	}
}
