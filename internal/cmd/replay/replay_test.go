package replay

import (
	"bytes"
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/replay"
)

// execute runs the command with a run function and returns its output.
func execute(runF func(context.Context, *Options) error, args ...string) (string, error) {
	var out bytes.Buffer
	f := factory.New()
	f.IO.Out, f.IO.ErrOut = &out, &out
	cmd := NewCmd(f, runF)
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

var _ = Describe("replay", func() {
	It("passes the checked flags to the run function", func() {
		var got *Options
		_, err := execute(func(_ context.Context, opts *Options) error {
			got = opts
			return nil
		}, "--trace", "noisy-wave", "--policy", "best-fit", "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Traces).To(Equal([]string{"noisy-wave"}))
		Expect(got.Policies).To(Equal([]replay.PolicyName{replay.BestFit}))
		Expect(got.JSON).To(BeTrue())
	})

	It("reports all unknown names at once", func() {
		_, err := execute(nil, "--trace", "x", "--policy", "y")
		Expect(err).To(MatchError(And(ContainSubstring(`trace "x"`), ContainSubstring(`policy "y"`))))
	})

	It("generates traces and runs them", func() {
		dir := GinkgoT().TempDir()
		_, err := execute(nil, "--directory", dir, "--generate", "--trace", "impossible-job")
		Expect(err).NotTo(HaveOccurred())
		out, err := execute(nil, "--directory", dir, "--trace", "impossible-job", "--json")
		Expect(err).NotTo(HaveOccurred())
		var reports []replay.Report
		Expect(json.Unmarshal([]byte(out), &reports)).To(Succeed())
		Expect(reports).To(HaveLen(len(replay.PolicyNames)))
	})
})
