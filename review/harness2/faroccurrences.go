package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// year is the interval of the repeated job.
	year            = 365 * 24 * time.Hour
	yearRepetitions = 300
	// fewYears is the number of repetitions without the trouble.
	fewYears      = 200
	yearsTraffic  = 20 * time.Second
	maxShownFinds = 5
)

// playFarOccurrences hands in a job that runs once a year for centuries.
func playFarOccurrences(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	yearly := d.smallJob()
	yearly.repetitions, yearly.firstRun, yearly.interval = fewYears, time.Now().Add(2*time.Second), year
	if trouble {
		yearly.repetitions = yearRepetitions
	}
	sending, cancelSending := context.WithTimeout(ctx, yearsTraffic)
	defer cancelSending()
	asking, cancelAsking := context.WithTimeout(ctx, yearsTraffic+finishTime)
	defer cancelAsking()
	d.group.Go(func() { d.submit(asking, yearly) })
	d.traffic(sending, asking, trafficInterval)
	findings := d.world.findingsOf("ORDER")
	text := fmt.Sprintf("%d starts before their time", len(findings))
	for _, f := range findings[:min(len(findings), maxShownFinds)] {
		text += "\n" + f
	}
	return verdict{broken: len(findings) > 0, text: text}, nil
}
