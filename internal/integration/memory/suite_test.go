// Package memory starts real processes with lowered limits, opens crowds of connections that
// send requests which they don't finish, and checks that the process stays alive within its
// limits and still answers an ordinary caller. Its specs run one at a time, apart from other
// tests.
package memory

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Memory")
}

// program is the path of the program under test. It is built without the race detector, which
// multiplies the memory of a process.
var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("github.com/jacinthtrail/jacinthtrail/cmd/jacinthtrail")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})
