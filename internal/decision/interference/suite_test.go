package interference

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInterference(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Interference")
}
