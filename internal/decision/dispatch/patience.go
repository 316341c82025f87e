package dispatch

import "time"

const (
	// leastPatience and mostPatience bound how long a worker may take to answer a start
	// before the start counts as unanswered. The least is many times what an answer takes
	// across regions.
	leastPatience = 350 * time.Millisecond
	mostPatience  = 1200 * time.Millisecond
	// patienceFactor times the mean time of an answer is the patience in between.
	patienceFactor = 8
	// answerWeight is the weight of a new answer in the mean.
	answerWeight = 0.05
	// repeatShare is the part of the answered starts that may be sent again, and
	// maxRepeats how many may be beyond that. Repetitions would otherwise add to the load
	// that makes answers late.
	repeatShare = 0.1
	maxRepeats  = 20
)

// answers keeps how long workers take to answer starts. The zero value knows nothing.
type answers struct {
	mean time.Duration
	// repeated counts the repetitions that answers haven't paid for yet.
	repeated float64
}

// note enters an answer, or that none came within a time.
func (a *answers) note(took time.Duration, answered bool) {
	a.mean += time.Duration(answerWeight * float64(took-a.mean))
	if answered {
		a.repeated = max(a.repeated-repeatShare, 0)
	}
}

// patience returns how long to wait for an answer.
func (a *answers) patience() time.Duration {
	return min(max(patienceFactor*a.mean, leastPatience), mostPatience)
}

// takeRepeat takes one repetition from the budget and reports whether there was one.
func (a *answers) takeRepeat() bool {
	if a.repeated+1 > maxRepeats {
		return false
	}
	a.repeated++
	return true
}
