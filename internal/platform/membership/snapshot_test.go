package membership_test

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Guards against one odd entry in the list that keeps an instance from following it, or that
// is used as a worker or an executor.
var _ = Describe("Snapshot", func() {
	const sound = `{"ID":"w1","Kind":"Worker","State":"Live","Zone":"z","Address":"10.0.0.1:9000","Capacity":{"Processors":4000,"Memory":1000}}`

	expectLeftOut := func(odd string) {
		GinkgoHelper()
		var snapshot membership.Snapshot
		Expect(json.Unmarshal([]byte(fmt.Sprintf(`{"Revision":4,"Instances":[%s,%s]}`, odd, sound)), &snapshot)).To(Succeed())
		Expect(snapshot.Revision).To(Equal(uint64(4)))
		Expect(snapshot.Instances).To(HaveLen(1))
		Expect(snapshot.Instances[0].ID).To(Equal(membership.InstanceID("w1")))
		Expect(snapshot.LeftOut).To(HaveLen(1))
	}

	odd := func(address, capacity string) string {
		return fmt.Sprintf(`{"ID":"odd","Kind":"Worker","State":"Live","Zone":"z","Address":%s,"Capacity":%s}`, address, capacity)
	}

	DescribeTable("leaves out an odd entry and keeps the others", expectLeftOut,
		Entry("a number beyond 64 bits", odd(`"10.0.0.2:9000"`, `{"Processors":1e400}`)),
		Entry("too many processors", odd(`"10.0.0.2:9000"`, `{"Processors":9223372036854775807}`)),
		Entry("negative memory", odd(`"10.0.0.2:9000"`, `{"Processors":4000,"Memory":-1}`)),
		Entry("a port out of range", odd(`"10.0.0.2:99999"`, `{"Processors":4000}`)),
		Entry("no port", odd(`"10.0.0.2"`, `{"Processors":4000}`)),
		Entry("an address of another type", odd(`7`, `{"Processors":4000}`)),
		Entry("an array in place of an entry", `[[[1]]]`),
		Entry("no fields", `{}`),
	)

	It("keeps a list without odd entries as it is", func() {
		var snapshot membership.Snapshot
		Expect(json.Unmarshal([]byte(`{"Revision":4,"Instances":[`+sound+`]}`), &snapshot)).To(Succeed())
		Expect(snapshot.Instances).To(HaveLen(1))
		Expect(snapshot.LeftOut).To(BeEmpty())
	})

	It("fails to decode what is no list", func() {
		var snapshot membership.Snapshot
		Expect(json.Unmarshal([]byte(`{"Revision":"x"}`), &snapshot)).NotTo(Succeed())
	})
})
