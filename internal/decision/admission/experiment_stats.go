package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// runStats counts the outcomes of the requests that arrived after the warm-up.
type runStats struct {
	latencies            *hdrhistogram.Histogram
	measuredFrom         time.Duration
	requests             int
	answered             int
	late                 int
	refused              int
	dropped              int
	hedged               int
	longestTimeToRefusal time.Duration
}

func (s *runStats) recordArrival(r *simulatedRequest) {
	if r.arrivedAt >= s.measuredFrom {
		s.requests++
	}
}

// recordAnswer ends a request with a response or with its timeout.
func (s *runStats) recordAnswer(r *simulatedRequest, now time.Duration) {
	if r.done {
		return
	}
	r.done = true
	if r.arrivedAt < s.measuredFrom {
		return
	}
	s.answered++
	// Simulated latencies are within the range of the histogram, so this can't fail.
	_ = s.latencies.RecordValue((now - r.arrivedAt).Microseconds())
	if now > r.deadline {
		s.late++
	}
}

// recordRefusal ends a request that was refused. dropped means that it was queued before.
func (s *runStats) recordRefusal(r *simulatedRequest, now time.Duration, dropped bool) {
	if r.done {
		return
	}
	r.done = true
	if r.arrivedAt < s.measuredFrom {
		return
	}
	s.refused++
	if dropped {
		s.dropped++
	}
	s.longestTimeToRefusal = max(s.longestTimeToRefusal, now-r.arrivedAt)
}

func (s *runStats) recordHedge(r *simulatedRequest) {
	if r.arrivedAt >= s.measuredFrom {
		s.hedged++
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (s *runStats) row(policy Policy, load int, measured time.Duration) Row {
	at := func(percentile float64) time.Duration {
		return time.Duration(s.latencies.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Row{
		Policy: policy, LoadPercent: load, Requests: s.requests,
		InTimeRate: float64(s.answered-s.late) / measured.Seconds(),
		P50:        at(50), P99: at(99), P999: at(99.9),
		LateShare:    share(s.late, s.answered),
		RefusedShare: share(s.refused, s.requests),
		DroppedShare: share(s.dropped, s.requests),
		HedgedShare:  share(s.hedged, s.requests),

		LongestRefuse: s.longestTimeToRefusal,
	}
}
