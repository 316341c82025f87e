package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
)

var _ = Describe("Apply", func() {
	var cmd *cobra.Command
	var zone string
	var count int

	BeforeEach(func() {
		cmd = &cobra.Command{}
		cmd.Flags().StringVar(&zone, "zone", "default", "")
		cmd.Flags().IntVar(&count, "drain-count", 1, "")
	})

	apply := func(environment map[string]string, args ...string) error {
		GinkgoHelper()
		Expect(cmd.ParseFlags(args)).To(Succeed())
		return settings.Apply(cmd, func(name string) (string, bool) {
			value, ok := environment[name]
			return value, ok
		})
	}

	It("prefers the command line to the environment and the environment to the default", func() {
		environment := map[string]string{"JACINTHTRAIL_ZONE": "environment", "JACINTHTRAIL_DRAIN_COUNT": "3"}
		Expect(apply(environment, "--zone", "flag")).To(Succeed())
		Expect(zone).To(Equal("flag"))
		Expect(count).To(Equal(3))
	})

	It("keeps the defaults without environment variables", func() {
		Expect(apply(nil)).To(Succeed())
		Expect([]any{zone, count}).To(Equal([]any{"default", 1}))
	})

	It("reports the variable of a value that can't be parsed", func() {
		Expect(apply(map[string]string{"JACINTHTRAIL_DRAIN_COUNT": "many"})).
			To(MatchError(ContainSubstring("JACINTHTRAIL_DRAIN_COUNT")))
	})
})

var _ = Describe("Findings", func() {
	It("reports all findings with their flag, variable and fix", func() {
		var findings settings.Findings
		Expect(findings.Err()).NotTo(HaveOccurred())
		findings.Add("drain-timeout", "it is negative", "give a duration")
		findings.Add("zone", "it is empty", "give a zone")
		Expect(findings.Err()).To(MatchError("--drain-timeout (JACINTHTRAIL_DRAIN_TIMEOUT): it is negative; give a duration\n" +
			"--zone (JACINTHTRAIL_ZONE): it is empty; give a zone"))
	})
})
