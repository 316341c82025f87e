// Package logging writes structured log lines without ever blocking the caller, and limits
// the number of lines a second.
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
	// maxQueuedLines is the number of lines that can wait to be written. Beyond it, lines
	// are dropped and counted.
	maxQueuedLines = 4096
	// pollInterval is the time between writes of the waiting lines.
	pollInterval = 25 * time.Millisecond
	// routineLinesPerSecond limits the lines about each task, and importantLinesPerSecond
	// those about refusals, failures, evictions, takeovers and the like. A line has 200 to
	// 400 bytes.
	routineLinesPerSecond   = 400
	importantLinesPerSecond = 400
	// burstSeconds is the size of a burst, as the number of seconds in which the limits
	// allow that many lines.
	burstSeconds = 2
	// summaryInterval is the time between log lines with the number of omitted lines.
	summaryInterval = 5 * time.Second
)

// Names of the counters of omitted lines: dropped from the full queue, or above the limit
// of routine or important lines.
const (
	CountDropped   = "Log.Dropped"
	CountRoutine   = "Log.LeftOut.Routine"
	CountImportant = "Log.LeftOut.Important"
)

// Loggers holds the loggers of a process.
type Loggers struct {
	// Important is for what operators look for after an incident: refusals, failures,
	// evictions, takeovers, and changes in what the process knows about the system, such as
	// a new owner of a shard.
	Important zerolog.Logger
	// Routine is for the normal lifecycle of each task.
	Routine zerolog.Logger

	counters *counter.Set
	closer   io.Closer
}

// Open returns loggers that write to w. Close flushes the waiting lines.
func Open(w io.Writer, level zerolog.Level, counters *counter.Set) *Loggers {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	writer := diode.NewWriter(w, maxQueuedLines, pollInterval, func(missed int) {
		counters.Add(CountDropped, int64(missed))
	})
	base := zerolog.New(writer).Level(level).With().Timestamp().Logger()
	return &Loggers{
		Important: base.Sample(newRateSampler(importantLinesPerSecond, counters, CountImportant)),
		Routine:   base.Sample(newRateSampler(routineLinesPerSecond, counters, CountRoutine)),
		counters:  counters,
		closer:    writer,
	}
}

// With adds a field to all lines that are logged afterwards.
func (l *Loggers) With(key, value string) {
	l.Important = l.Important.With().Str(key, value).Logger()
	l.Routine = l.Routine.With().Str(key, value).Logger()
}

// Run logs the number of omitted lines every summaryInterval until ctx ends, if there are
// any new ones.
func (l *Loggers) Run(ctx context.Context, clock clockwork.Clock) error {
	ticker := clock.NewTicker(summaryInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
		omitted := l.counters.Value(CountDropped) + l.counters.Value(CountRoutine) + l.counters.Value(CountImportant)
		if omitted > reported {
			l.Important.Warn().Int64("Lines", omitted-reported).Msg("log lines were omitted")
			reported = omitted
		}
	}
}

// Close writes the waiting lines and stops the writer.
func (l *Loggers) Close() error {
	return l.closer.Close()
}

// rateSampler is a zerolog.Sampler that passes a limited number of lines a second and
// counts the others.
type rateSampler struct {
	limiter  *rate.Limiter
	counters *counter.Set
	// counterName is the counter of the omitted lines.
	counterName string
}

func newRateSampler(linesPerSecond int, counters *counter.Set, counterName string) *rateSampler {
	return &rateSampler{rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond*burstSeconds), counters, counterName}
}

// Sample reports whether the next line may be written.
func (s *rateSampler) Sample(zerolog.Level) bool {
	if s.limiter.Allow() {
		return true
	}
	s.counters.Add(s.counterName, 1)
	return false
}
