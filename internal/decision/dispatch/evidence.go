package dispatch

import "time"

// Evidence is what an owner knew of a run or its worker when it made a decision, so that a wrong
// decision can be explained later. Zero fields are unknown or don't apply.
type Evidence struct {
	// Phase is the state of the run in the owner's records.
	Phase string
	// PollAge is how long ago the last poll of the worker was sent, and ReportAge how long ago its
	// last report arrived.
	PollAge   time.Duration
	ReportAge time.Duration
	// AnswerAge is how long ago the answer to the last start or stop command for the run arrived.
	AnswerAge time.Duration
	// MissingFor is how long ago a report first should have listed the run and didn't.
	MissingFor time.Duration
	// LeaseExpiresIn is the time until the worker's leases must have expired. It is negative once
	// they have.
	LeaseExpiresIn time.Duration
	// Incarnation and Clock are those of the worker's process as it last reported them.
	// EarlierIncarnation and EarlierClock are those of the process before a restart.
	Incarnation        int64
	Clock              time.Duration
	EarlierIncarnation int64
	EarlierClock       time.Duration
	// Runs is the number of runs on the worker that the decision concerns.
	Runs int
}

// evidence returns what is known of the worker.
func (w *worker) evidence(now time.Time) Evidence {
	ev := Evidence{
		ReportAge: now.Sub(w.lastReportAt), LeaseExpiresIn: w.leasesExpireAt().Sub(now),
		Incarnation: w.incarnation, Clock: w.reportedClock, Runs: len(w.runs),
	}
	if !w.pollSentAt.IsZero() {
		ev.PollAge = now.Sub(w.pollSentAt)
	}
	return ev
}

// evidence returns what is known of the run and its worker.
func (a *attempt) evidence(now time.Time) Evidence {
	ev := a.worker.evidence(now)
	ev.Phase, ev.Runs = a.phase.String(), 1
	if !a.answeredAt.IsZero() {
		ev.AnswerAge = now.Sub(a.answeredAt)
	}
	if !a.missingSince.IsZero() {
		ev.MissingFor = now.Sub(a.missingSince)
	}
	return ev
}
