package admission

// maxTokens bounds the retries and hedges that a quiet time saves up, so that
// they can't all be spent in one burst.
const maxTokens = 50

// Budget allows retries and hedges as a share of requests. The zero value starts
// empty and fills with requests.
type Budget struct {
	thousandths int
}

// Arrived credits one request. The share is in thousandths.
func (b *Budget) Arrived(share int) {
	b.thousandths = min(b.thousandths+max(share, 0), maxTokens*1000)
}

// Take spends one retry or hedge and reports whether the budget had one.
func (b *Budget) Take() bool {
	if b.thousandths < 1000 {
		return false
	}
	b.thousandths -= 1000
	return true
}
