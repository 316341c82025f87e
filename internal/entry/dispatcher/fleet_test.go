package dispatcher

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/dispatch"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// Guards against a row that is too large for the store. After workers were added, each
// owner retried the rejected transaction until it was replaced: ten owners in 17 s.
var _ = Describe("The rows of the workers in use", func() {
	workers := func(n int) []dispatch.WorkerInfo {
		var list []dispatch.WorkerInfo
		for i := range n {
			list = append(list, dispatch.WorkerInfo{
				ID: membership.InstanceID(fmt.Sprintf("i-%010d", i)), Address: "10.2.64.64:8103", Service: "lending-service",
				Zone: "a-zone", Labels: []dispatch.Label{"a", dispatch.Label(strings.Repeat("r", 40))},
			})
		}
		return list
	}

	It("the rows hold any number of workers", func() {
		pages := fleetPages(workers(1000))
		total := 0
		for _, page := range pages {
			Expect(len(page)).To(BeNumerically("<=", 48<<10))
			list, err := decode[[]dispatch.WorkerInfo](table.Row{Value: page})
			Expect(err).NotTo(HaveOccurred())
			total += len(list)
		}
		Expect(total).To(Equal(1000))
		Expect(fleetPages(nil)).To(BeEmpty())
	})

	It("rows are written when they change and deleted when they are no longer needed", func() {
		shard := partition("s0")
		many, few := fleetPages(workers(1000)), fleetPages(workers(10))
		Expect(shard.fleetWrites(nil, many)).To(HaveLen(len(many)))
		Expect(shard.fleetWrites(many, many)).To(BeEmpty())
		writes := shard.fleetWrites(many, few)
		Expect(writes).To(HaveLen(len(many)))
		Expect(writes[0].Delete).To(BeFalse())
		Expect(writes[1].Delete).To(BeTrue())
	})
})
