// Package logging writes structured lines to the operators without ever blocking
// the work, and bounds how many there are.
package logging

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/counter"
)

const (
	// queuedLines wait to be written; more are dropped and counted.
	queuedLines = 4096
	// pollInterval is how often waiting lines are written.
	pollInterval = 25 * time.Millisecond
	// routineLines a second are written of what happens to each task, and
	// importantLines of refusals, failures, evictions, takeovers and the like. A line
	// has 200 to 400 bytes.
	routineLines   = 400
	importantLines = 400
	// burstSeconds of the bounds may be used at once.
	burstSeconds = 2
	// summaryInterval is the time between lines that tell how many were left out.
	summaryInterval = 5 * time.Second
)

// Names of the counters of this package.
const (
	CountDropped   = "Log.Dropped"
	CountRoutine   = "Log.LeftOut.Routine"
	CountImportant = "Log.LeftOut.Important"
)

// Loggers are the logs of a process.
type Loggers struct {
	// Important is for what someone will ask about: refusals, failures, evictions,
	// takeovers, and changes of what the process believes.
	Important zerolog.Logger
	// Routine is for the ordinary course of each task.
	Routine zerolog.Logger

	counters *counter.Set
	closer   io.Closer
}

// Open returns loggers that write to w. Close them to write what waits.
func Open(w io.Writer, level zerolog.Level, counters *counter.Set) *Loggers {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	writer := diode.NewWriter(w, queuedLines, pollInterval, func(missed int) {
		counters.Add(CountDropped, int64(missed))
	})
	base := zerolog.New(writer).Level(level).With().Timestamp().Logger()
	return &Loggers{
		Important: base.Sample(newBound(importantLines, counters, CountImportant)),
		Routine:   base.Sample(newBound(routineLines, counters, CountRoutine)),
		counters:  counters,
		closer:    writer,
	}
}

// With adds a field to all lines.
func (l *Loggers) With(key, value string) {
	l.Important = l.Important.With().Str(key, value).Logger()
	l.Routine = l.Routine.With().Str(key, value).Logger()
}

// Run writes a line from time to time about what was left out, until ctx ends.
func (l *Loggers) Run(ctx context.Context, clock clockwork.Clock) error {
	ticker := clock.NewTicker(summaryInterval)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
		left := l.counters.Value(CountDropped) + l.counters.Value(CountRoutine) + l.counters.Value(CountImportant)
		if left > told {
			l.Important.Warn().Int64("Lines", left-told).Msg("log lines were left out")
			told = left
		}
	}
}

// Close writes the lines that wait.
func (l *Loggers) Close() error {
	return l.closer.Close()
}

// bound lets a number of lines a second pass.
type bound struct {
	limiter  *rate.Limiter
	counters *counter.Set
	name     string
}

func newBound(lines int, counters *counter.Set, name string) *bound {
	return &bound{rate.NewLimiter(rate.Limit(lines), lines*burstSeconds), counters, name}
}

// Sample reports whether a line may be written.
func (b *bound) Sample(zerolog.Level) bool {
	if b.limiter.Allow() {
		return true
	}
	b.counters.Add(b.name, 1)
	return false
}
