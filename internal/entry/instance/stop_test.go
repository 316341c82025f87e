package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

var _ = Describe("Drain timeout", func() {
	// Guards against a default timeout that aborts feeds which the manifest allows.
	It("defaults to the time of the longest request or feed that the manifest allows", func() {
		i := &Instance{settings: Settings{UnreadyDelay: time.Second}}
		Expect(i.drainTimeout()).To(Equal(time.Second + releaseTimeout + job.MaxWait))
		i.config.ApplyIfNewer(manifest.Published{Version: 1, Manifest: manifest.Manifest{Services: []manifest.Service{
			{MaxDuration: manifest.Duration(time.Second)},
			{MaxFeedDuration: manifest.Duration(2 * time.Hour), IdleTimeout: manifest.Duration(time.Minute)},
		}}})
		Expect(i.drainTimeout()).To(Equal(time.Second + releaseTimeout + 2*time.Hour + time.Minute))
		i.settings.DrainTimeout = time.Minute
		Expect(i.drainTimeout()).To(Equal(time.Minute))
	})
})
