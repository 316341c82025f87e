package replay

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// urgentBound is the time within which urgent work starts when it fits.
const urgentBound = 2200 * time.Millisecond

var (
	umhlangaClasses = [3]manifest.ClassName{"build", "report", "export"}
	trustClasses    = [3]manifest.ClassName{"scan", "reconcile", "index"}
)

// slowdowns are the true rises of the logarithm of p99 for each processor at the
// reference rate. No policy sees them.
var slowdowns = map[manifest.ClassName]float64{
	"build": 0.06, "report": 0.005, "export": 0.015,
	"scan": 0.05, "reconcile": 0.015, "index": 0.003,
}

const (
	// referenceRate is the request rate at which slowdowns hold, per executor.
	referenceRate = 30
	// idlePart is the p99 without load or batch work against the target.
	idlePart = 0.35
	// noiseDeviation is the standard deviation of the logarithm of a sampled p99.
	noiseDeviation = 0.08
	// tail makes the share of late answers 1% at the target, falling with the third power.
	tail = 3
)

// latency is the true p99 of a service against its target. pressure is the sum
// over the tasks beside it of slowdown times processors, crowding the processors
// in use over those that exist.
func latency(rate, pressure, crowding float64) float64 {
	load := rate / referenceRate
	alone := idlePart * (1 + 0.25*load*load)
	return alone * math.Exp(pressure*(0.5+0.5*load)) * max(crowding, 1)
}

// late is the share of late answers at a p99 against the target.
func late(ratio float64) float64 {
	return min(0.01*math.Pow(ratio, tail), 1)
}
