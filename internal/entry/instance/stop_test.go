package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/job"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

var _ = Describe("The drain timeout", func() {
	// Guards against a default that cuts off the feeds of a service with a longer bound.
	It("covers the longest feed of the manifest in force unless it is set", func() {
		i := &Instance{settings: Settings{UnreadyDelay: time.Second}}
		Expect(i.drainTimeout()).To(Equal(time.Second + releaseTimeout + job.MaxWait))
		i.config.Offer(manifest.Published{Version: 1, Manifest: manifest.Manifest{Services: []manifest.Service{
			{MaxDuration: manifest.Duration(time.Second)},
			{MaxFeedDuration: manifest.Duration(2 * time.Hour), IdleTimeout: manifest.Duration(time.Minute)},
		}}})
		Expect(i.drainTimeout()).To(Equal(time.Second + releaseTimeout + 2*time.Hour + time.Minute))
		i.settings.DrainTimeout = time.Minute
		Expect(i.drainTimeout()).To(Equal(time.Minute))
	})
})
