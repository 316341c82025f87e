package proxy

import (
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a quota that is charged after the bytes were seen: a test that had
// read them and set a new quota lost bytes of the next answer.
var _ = Describe("reserve", func() {
	It("charges a quota before the bytes are sent, so that a later one is whole", func() {
		var quota atomic.Int64
		quota.Store(100)
		Expect(reserve(&quota, 5)).To(Equal(5))
		quota.Store(3)
		Expect(quota.Load()).To(BeEquivalentTo(3))
		Expect(reserve(&quota, 5)).To(Equal(3))
		Expect(reserve(&quota, 5)).To(BeZero())
		Expect(quota.Load()).To(BeZero())
	})

	It("has no end without a quota", func() {
		Expect(reserve(nil, 7)).To(Equal(7))
	})
})
