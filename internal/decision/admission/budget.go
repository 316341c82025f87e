package admission

// maxTokens is the capacity of a RetryBudget in retries and hedges. It limits the burst
// that can follow a period with few of them.
const maxTokens = 50

// RetryBudget is a token bucket that limits retries and hedges to a share of the requests.
// The zero value is an empty bucket, to which each request adds part of a token.
type RetryBudget struct {
	milliTokens int
}

// Credit adds the share of one request, in thousandths of a token.
func (b *RetryBudget) Credit(milliTokens int) {
	b.milliTokens = min(b.milliTokens+max(milliTokens, 0), maxTokens*1000)
}

// Spend takes one token for a retry or hedge and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.milliTokens < 1000 {
		return false
	}
	b.milliTokens -= 1000
	return true
}
