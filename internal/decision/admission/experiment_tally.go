package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts how the requests ended that arrived after the warm-up.
type tally struct {
	latencies *hdrhistogram.Histogram
	from      time.Duration
	requests  int
	answers   int
	late      int
	refused   int
	dropped   int
	hedged    int
	longest   time.Duration
}

func (t *tally) arrived(r *simulated) {
	if r.arrived >= t.from {
		t.requests++
	}
}

// answer ends a request with an answer, or with the news that there is none.
func (t *tally) answer(r *simulated, now time.Duration) {
	if r.over {
		return
	}
	r.over = true
	if r.arrived < t.from {
		return
	}
	t.answers++
	// Simulated latencies are within the range of the histogram.
	_ = t.latencies.RecordValue((now - r.arrived).Microseconds())
	if now > r.deadline {
		t.late++
	}
}

// refuse ends a request that was not run.
func (t *tally) refuse(r *simulated, now time.Duration, dropped bool) {
	if r.over {
		return
	}
	r.over = true
	if r.arrived < t.from {
		return
	}
	t.refused++
	if dropped {
		t.dropped++
	}
	t.longest = max(t.longest, now-r.arrived)
}

func (t *tally) hedge(r *simulated) {
	if r.arrived >= t.from {
		t.hedged++
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (t *tally) row(policy Policy, load int, measured time.Duration) Row {
	at := func(percentile float64) time.Duration {
		return time.Duration(t.latencies.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Row{
		Policy: policy, LoadPercent: load, Requests: t.requests,
		InTimeRate: float64(t.answers-t.late) / measured.Seconds(),
		P50:        at(50), P99: at(99), P999: at(99.9),
		LateShare:    share(t.late, t.answers),
		RefusedShare: share(t.refused, t.requests),
		DroppedShare: share(t.dropped, t.requests),
		HedgedShare:  share(t.hedged, t.requests),

		LongestRefuse: t.longest,
	}
}
