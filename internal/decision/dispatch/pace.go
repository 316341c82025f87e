package dispatch

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const (
	// fullPace is the share of its speed, in percent, at which a task starts.
	fullPace = 100
	// unknownPace marks a run of an earlier owner, which may have slowed it down.
	unknownPace = -1
	// paceRepeat is the time after which a pace command without effect is repeated.
	paceRepeat = 500 * time.Millisecond
	// harmAbove is the tail latency against the target at which fillers are slowed
	// down. It leaves room for the noise and the age of the measurement.
	harmAbove = 0.85
	// calmBelow is the tail latency against the target at which fillers speed up.
	calmBelow = 0.6
	// measureLag is the period of a measurement: a change shows only after it.
	measureLag = 600 * time.Millisecond
	// slowDown multiplies the pace of fillers that disturb.
	slowDown = 0.5
	// speedUp is added to the pace, in percent, when the serving tasks are calm.
	speedUp = 20
	// minPace is the pace, in percent, below which fillers are held still.
	minPace = 10
	// harmMemory is how long an observation of a pair counts.
	harmMemory = 20 * time.Second
)

// pace is the share of its speed that a task was given, in percent.
type pace struct {
	percent int
	sentAt  time.Time
}

// Pair is a serving image and a filler image beside it.
type Pair struct {
	Serving Image
	Filler  Image
}

// harmEstimate is what was seen of a pair.
type harmEstimate struct {
	// ratio is the tail latency against the target when the filler ran at full pace.
	ratio float64
	at    time.Time
}

// pairTable keeps what was seen of each pair.
type pairTable map[Pair]harmEstimate

// unknownHarm is assumed of a pair that was never seen: less than that of a pair
// known to disturb, so that it is tried, more than that of a harmless one.
const unknownHarm = 0.5

// harm returns how much a pair is expected to disturb, 0 to 1.
func (t pairTable) harm(_ time.Time, p Pair) float64 {
	seen, known := t[p]
	if !known {
		return unknownHarm
	}
	return min(max((seen.ratio-calmBelow)/(1-calmBelow), 0), 1)
}

// observe enters the ratio of tail latency to target of a pair at full pace.
func (t pairTable) observe(now time.Time, p Pair, ratio float64) {
	seen, known := t[p]
	if !known || now.Sub(seen.at) > harmMemory || ratio > seen.ratio {
		t[p] = harmEstimate{ratio, now}
		return
	}
	t[p] = harmEstimate{seen.ratio + 0.1*(ratio-seen.ratio), now}
}

// harmControl slows down the fillers of one worker while they disturb.
type harmControl struct {
	// pace is what all fillers of the worker get, in percent; 0 stands for full
	// pace while slowed is false.
	pace      int
	slowed    bool
	changedAt time.Time
	worst     float64
}

// servingTasks returns the number of serving tasks on the worker.
func (n *node) servingTasks() int {
	serving := 0
	for _, a := range n.runs {
		if a.task.step.Target > 0 {
			serving++
		}
	}
	return serving
}

// observeTails learns from the tail latencies in a report.
func (e *Engine) observeTails(now time.Time, n *node, r Report) {
	worst := 0.0
	for _, run := range r.Running {
		a := n.runs[run.Task]
		if a == nil || a.run != run.Run || a.task.step.Target <= 0 || run.Percent < atWorkPercent {
			continue
		}
		ratio := float64(run.Measure) * float64(time.Millisecond) / float64(a.task.step.Target)
		worst = max(worst, ratio)
		e.learnPairs(now, n, a, ratio)
	}
	n.harm.worst = worst
	n.harm.adjust(now, worst)
}

// learnPairs charges the latency of a serving task to the fillers beside it, when
// all of them are of one image and have run at full pace for a whole measurement.
func (e *Engine) learnPairs(now time.Time, n *node, serving *attempt, ratio float64) {
	filler := Image("")
	for _, a := range n.runs {
		if !a.task.step.Filler {
			continue
		}
		if a.pace.percent != fullPace || now.Sub(a.sentAt) < measureLag || now.Sub(n.harm.changedAt) < measureLag {
			return
		}
		if filler != "" && filler != a.task.step.Image {
			return
		}
		filler = a.task.step.Image
	}
	if filler != "" {
		e.pairs.observe(now, Pair{serving.task.step.Image, filler}, ratio)
	}
}

// adjust chooses the pace of the fillers after a measurement.
func (c *harmControl) adjust(now time.Time, worst float64) {
	if now.Sub(c.changedAt) < measureLag {
		return
	}
	current := fullPace
	if c.slowed {
		current = c.pace
	}
	switch {
	case worst > harmAbove:
		next := int(float64(current) * slowDown)
		if next < minPace {
			next = 0
		}
		c.pace, c.slowed, c.changedAt = next, true, now
	case worst < calmBelow && c.slowed:
		c.pace, c.changedAt = min(current+speedUp, fullPace), now
		c.slowed = c.pace < fullPace
	}
}

// target returns the pace for fillers.
func (c *harmControl) target() int {
	if c.slowed {
		return c.pace
	}
	return fullPace
}

// controlHarm sends the paces that fillers don't have yet.
func (e *Engine) controlHarm(now time.Time) {
	for _, n := range e.fleet {
		if n.fillers == 0 || n.misses > 0 {
			continue
		}
		want := n.harm.target()
		for _, a := range n.runs {
			if a.task.step.Filler && a.phase == running && a.pace.percent != want && now.Sub(a.pace.sentAt) >= paceRepeat {
				e.sendPace(now, a, want)
			}
		}
	}
}

func (e *Engine) sendPace(now time.Time, a *attempt, percent int) {
	a.pace.sentAt = now
	e.count("Task.Paced")
	e.commands = append(e.commands, Command{
		Worker: a.node.ID, Address: a.node.Address, TaskRun: TaskRun{a.task.id, a.run}, Pace: &percent,
	})
}

// expectedHarm returns how much a filler of the step is expected to disturb the
// serving tasks of a worker, 0 to 1, and false if it must not run there.
func (e *Engine) expectedHarm(now time.Time, s *step, n *node) (float64, bool) {
	harm := 0.0
	for _, a := range n.runs {
		if a.task.step.Target <= 0 {
			continue
		}
		harm = max(harm, e.pairs.harm(now, Pair{a.task.step.Image, s.Image}))
	}
	return harm, true
}

// Paced notes that a worker accepted a pace command.
func (e *Engine) Paced(id membership.InstanceID, r TaskRun, percent int) {
	if a := e.findAttempt(id, r); a != nil {
		a.pace.percent = percent
	}
}
