package serve

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/entry/instance"
)

func TestServe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Serve")
}

var _ = Describe("serve", func() {
	DescribeTable("limits the memory of the garbage collector only if the memory is given", func(environment map[string]string, given bool, args ...string) {
		f := &factory.Factory{
			IO:    factory.IOStreams{In: strings.NewReader(""), Out: &bytes.Buffer{}, ErrOut: &bytes.Buffer{}},
			Clock: clockwork.NewRealClock(),
			LookupEnv: func(name string) (string, bool) {
				value, ok := environment[name]
				return value, ok
			},
		}
		var received *Options
		cmd := NewCmd(f, func(_ context.Context, opts *Options) error {
			received = opts
			return nil
		})
		cmd.SetArgs(append([]string{"--id", "n", "--zone", "z", "--region", "r"}, args...))
		Expect(cmd.Execute()).To(Succeed())
		Expect(received.MemoryGiven).To(Equal(given))
		if !given {
			Expect(received.Settings.Memory).To(Equal(instance.DefaultMemory))
		}
	},
		Entry("by nothing", nil, false),
		Entry("by the flag", nil, true, "--memory-mb", "512"),
		Entry("by the environment", map[string]string{"JACINTHTRAIL_MEMORY_MB": "256"}, true),
	)
})
