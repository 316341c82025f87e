package dispatch

import "time"

const (
	// minAnswerTimeout and maxAnswerTimeout limit how long a worker may take to answer
	// a start before the start counts as unanswered. The minimum is many times the
	// duration of an answer across regions.
	minAnswerTimeout = 350 * time.Millisecond
	maxAnswerTimeout = 1200 * time.Millisecond
	// answerTimeoutFactor is multiplied by the mean time to an answer to get the
	// timeout between these limits.
	answerTimeoutFactor = 8
	// answerTimeSmoothing is the weight of a new answer in the mean.
	answerTimeSmoothing = 0.05
	// retryShare is the share of the answered starts that may be retried, and
	// maxRetries the number of retries allowed beyond that. Retries would otherwise add
	// to the load that delays the answers.
	retryShare = 0.1
	maxRetries = 20
)

// startAnswers tracks how long workers take to answer starts, the starts in flight, and the retry
// budget. The zero value is ready to use.
type startAnswers struct {
	mean   time.Duration
	window startWindow
	// usedRetries is the part of the retry budget in use. Each answer reduces it by
	// retryShare.
	usedRetries float64
}

// record records the time to an answer, or the time after which none had arrived.
func (a *startAnswers) record(took time.Duration, answered bool) {
	a.mean += time.Duration(answerTimeSmoothing * float64(took-a.mean))
	a.window.record(answered)
	if answered {
		a.usedRetries = max(a.usedRetries-retryShare, 0)
	}
}

// timeout returns how long to wait for an answer.
func (a *startAnswers) timeout() time.Duration {
	return min(max(answerTimeoutFactor*a.mean, minAnswerTimeout), maxAnswerTimeout)
}

// takeRetry takes one retry from the budget and reports whether one was available.
func (a *startAnswers) takeRetry() bool {
	if a.usedRetries+1 > maxRetries {
		return false
	}
	a.usedRetries++
	return true
}
