package standinplatform_test

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinplatform"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

// newCommand returns a function that executes the command with the given arguments.
func newCommand(out io.Writer, runF func(context.Context, *standinplatform.Options) error, args ...string) func(context.Context) error {
	f := &factory.Factory{IO: factory.IOStreams{Out: out}, Clock: clockwork.NewRealClock()}
	cmd := standinplatform.NewCmd(f, runF)
	cmd.SetArgs(args)
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	return cmd.ExecuteContext
}

var _ = Describe("The standin platform command", func() {
	It("prints its address, serves and stops when its context ends", func(ctx SpecContext) {
		runCtx, stop := context.WithCancel(ctx)
		output, out := io.Pipe()
		var group sync.WaitGroup
		var result error
		group.Go(func() { result = newCommand(out, nil)(runCtx) })
		var listening standinplatform.Listening
		Expect(json.NewDecoder(output).Decode(&listening)).To(Succeed())
		Expect(table.Client{Address: listening.Address}.Read(ctx, "k")).To(HaveLen(1))
		stop()
		group.Wait()
		Expect(result).NotTo(HaveOccurred())
	})

	DescribeTable("refuses invalid settings before it runs",
		func(ctx SpecContext, args ...string) {
			run := func(context.Context, *standinplatform.Options) error { panic("not reached") }
			Expect(newCommand(io.Discard, run, args...)(ctx)).NotTo(Succeed())
		},
		Entry("address without a port", "--address", "127.0.0.1"),
		Entry("negative announce term", "--announce-term", "-1s"),
		Entry("argument", "extra"),
	)
})
