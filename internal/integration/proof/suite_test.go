// Package proof starts real processes behind a fault-injecting proxy and checks guarantees of
// the system against the journals of the simulated platform, workers and executors.
package proof

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Proof")
}

// binary is the path of the program under test.
var binary string

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("github.com/jacinthtrail/jacinthtrail/cmd/jacinthtrail")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) {
	binary = string(path)
})

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
