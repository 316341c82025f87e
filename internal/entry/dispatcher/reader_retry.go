package dispatcher

import (
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// readerRetryInterval is how long an instance that failed to answer isn't asked again.
const readerRetryInterval = 2 * time.Second

// retryTimes has when instances that read rows for others, and failed to answer, may be asked again.
type retryTimes map[membership.InstanceID]time.Time

// avoid records that an instance failed to answer.
func (r retryTimes) avoid(name membership.InstanceID, now time.Time) {
	r[name] = now.Add(readerRetryInterval)
}

// mayAsk reports whether an instance may be asked.
func (r retryTimes) mayAsk(name membership.InstanceID, now time.Time) bool {
	return !now.Before(r[name])
}
