package entry

import (
	"math/rand/v2"
	"time"
)

// maxAcceptFailures is the number of accepts in a row that may fail.
const maxAcceptFailures = 60

// acceptBackoff is the wait after the first failed accept.
const acceptBackoff = 10 * time.Millisecond

// backoff returns the wait after a number of failures in a row: base doubled with
// each further failure up to limit, with jitter down to half of it.
func backoff(failures int, base, limit time.Duration) time.Duration {
	wait := base
	for i := 1; i < failures && wait < limit; i++ {
		wait *= 2
	}
	wait = min(wait, limit)
	return wait/2 + rand.N(wait/2+1)
}
