package manifestcheck_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/manifestcheck"
)

const exampleManifest = "../../../examples/amagasa.json"

func run(ctx context.Context, input string, args ...string) (string, error) {
	var out bytes.Buffer
	f := &factory.Factory{IO: factory.IOStreams{In: strings.NewReader(input), Out: &out}}
	cmd := manifestcheck.NewCmd(f, nil)
	cmd.SetArgs(args)
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	err := cmd.ExecuteContext(ctx)
	return out.String(), err
}

var _ = Describe("The manifest check command", func() {
	It("prints that a valid file has no findings", func(ctx SpecContext) {
		Expect(run(ctx, "", exampleManifest)).To(Equal(exampleManifest + ": no findings\n"))
	})

	DescribeTable("fails and prints each finding with its place",
		func(ctx SpecContext, input string, places ...string) {
			lines, err := run(ctx, input, "-")
			Expect(err).To(MatchError(manifestcheck.ErrFindings))
			text, err := run(ctx, input, "-", "--json")
			Expect(err).To(MatchError(manifestcheck.ErrFindings))
			var report manifestcheck.Report
			Expect(json.Unmarshal([]byte(text), &report)).To(Succeed())
			Expect(report.Findings).To(HaveLen(len(places)))
			for i, place := range places {
				Expect(report.Findings[i].Place).To(Equal(place))
				Expect(lines).To(ContainSubstring(place + ": "))
			}
		},
		Entry("unknown fields", `{"A":1,"B":2}`, "A", "B"),
		Entry("missing and invalid values", `{"Limits":{"ShardsPerZone":-1}}`, "Zones", "Limits.ShardsPerZone"),
	)

	It("reports a file that can't be read", func(ctx SpecContext) {
		_, err := run(ctx, "", "absent.json")
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(manifestcheck.ErrFindings))
	})
})
