package entry

import (
	"math/rand/v2"
	"time"
)

// maxAcceptFailures is the number of consecutive accept failures that Serve tolerates.
const maxAcceptFailures = 60

// acceptBackoffBase is the delay after the first failed accept.
const acceptBackoffBase = 10 * time.Millisecond

// backoff returns the delay after a number of consecutive failures. The delay starts
// at base and doubles with each further failure up to limit; jitter then reduces it
// by up to half.
func backoff(failures int, base, limit time.Duration) time.Duration {
	wait := base
	for i := 1; i < failures && wait < limit; i++ {
		wait *= 2
	}
	wait = min(wait, limit)
	return wait/2 + rand.N(wait/2+1)
}
