package replay

import (
	"math"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// maxUrgentWait is the time within which urgent tasks must start if the workers have
// room for them.
const maxUrgentWait = 2200 * time.Millisecond

var (
	umhlangaClasses = [3]manifest.ClassName{"build", "report", "export"}
	trustClasses    = [3]manifest.ClassName{"scan", "reconcile", "index"}
)

// trueSlowdowns are the true increases of the natural logarithm of p99 for each
// processor that a class uses, at the reference rate. No policy reads them.
var trueSlowdowns = map[manifest.ClassName]float64{
	"build": 0.06, "report": 0.005, "export": 0.015,
	"scan": 0.05, "reconcile": 0.015, "index": 0.003,
}

const (
	// referenceRate is the request rate for each executor at which trueSlowdowns hold,
	// in requests per second.
	referenceRate = 30
	// idleRatio is the p99 without load or batch work, divided by the target.
	idleRatio = 0.35
	// noiseDeviation is the standard deviation of the logarithm of a sampled p99.
	noiseDeviation = 0.08
	// tailExponent makes the share of late answers grow with the third power of
	// p99 divided by the target, from 1% where p99 equals the target.
	tailExponent = 3
)

// latencyRatio returns the true p99 of a service divided by its target. interference
// is the sum over the tasks on the same host of slowdown times processors, and
// oversubscription the processors in demand divided by those of the host.
func latencyRatio(rate, interference, oversubscription float64) float64 {
	load := rate / referenceRate
	withoutTasks := idleRatio * (1 + 0.25*load*load)
	return withoutTasks * math.Exp(interference*(0.5+0.5*load)) * max(oversubscription, 1)
}

// lateShare returns the share of late answers for a p99 divided by the target.
func lateShare(ratio float64) float64 {
	return min(0.01*math.Pow(ratio, tailExponent), 1)
}
