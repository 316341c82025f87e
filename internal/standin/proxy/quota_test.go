package proxy

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against taking bytes from a quota only after they are sent: a test that had
// already read them and set a new quota would lose bytes of the next response.
var _ = Describe("reserve", func() {
	It("takes bytes from a quota at once, so that a quota set later is whole", func() {
		var quota atomic.Int64
		quota.Store(100)
		Expect(takeQuota(&quota, 5)).To(Equal(5))
		quota.Store(3)
		Expect(quota.Load()).To(BeEquivalentTo(3))
		Expect(takeQuota(&quota, 5)).To(Equal(3))
		Expect(takeQuota(&quota, 5)).To(BeZero())
		Expect(quota.Load()).To(BeZero())
	})

	It("takes all bytes without a quota", func() {
		Expect(takeQuota(nil, 7)).To(Equal(7))
	})
})
