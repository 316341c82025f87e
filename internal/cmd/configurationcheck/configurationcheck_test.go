package configurationcheck_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/configurationcheck"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
)

func TestConfigurationCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cmd/configurationcheck")
}

const validConfiguration = `{"version":7,
 "routes":[{"name":"q","host":"a.example","prefix":"/u/","service":"pool","targetLatencyMs":300,"slackFactor":1.5,"unknown":1}],
 "services":[{"name":"pool"}],
 "limits":{"maxBodyBytes":262144}}`

func run(input string, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := configurationcheck.NewCmd(&factory.Factory{IO: factory.IOStreams{In: strings.NewReader(input), Out: &out}}, nil)
	cmd.SetArgs(args)
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

var _ = Describe("configuration check", func() {
	It("accepts a valid configuration with fields that it doesn't know", func() {
		out, err := run(validConfiguration, "-")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal("-: no findings\n"))
	})

	It("prints each finding with its path in the file and fails", func() {
		out, err := run(strings.ReplaceAll(validConfiguration, `"/u/"`, `"u/"`), "-")
		Expect(err).To(MatchError(configurationcheck.ErrFindings))
		Expect(out).To(ContainSubstring(`-: routes[0].prefix: prefix "u/" doesn't begin with a slash`))
	})

	It("names the line of invalid JSON", func() {
		_, err := run(strings.ReplaceAll(validConfiguration, `"pool"}]`, `"pool"}}`), "-")
		Expect(err).To(MatchError(ContainSubstring("-: line 3")))
	})

	It("names the line of a value of the wrong type", func() {
		_, err := run(strings.ReplaceAll(validConfiguration, `262144`, `"much"`), "-")
		Expect(err).To(MatchError(ContainSubstring("-: line 4")))
	})

	It("prints what differs from the configuration in force, as lines and as JSON", func() {
		file := filepath.Join(GinkgoT().TempDir(), "in-force.json")
		Expect(os.WriteFile(file, []byte(validConfiguration), 0o600)).To(Succeed())
		next := strings.NewReplacer(`"version":7`, `"version":9`, "262144", "65536").Replace(validConfiguration)
		out, err := run(next, "-", "--against", file)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal("-: no findings\n~ limits.maxBodyBytes: \"262144\" -> \"65536\"\n"))
		out, err = run(next, "-", "--against", file, "--json")
		Expect(err).NotTo(HaveOccurred())
		var report configurationcheck.Report
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Changes).To(HaveExactElements(configurationcheck.Change{Place: "limits.maxBodyBytes", Before: "262144", After: "65536"}))
	})

	It("shows a setting that was empty as changed, not as added", func() {
		file := filepath.Join(GinkgoT().TempDir(), "in-force.json")
		Expect(os.WriteFile(file, []byte(strings.Replace(validConfiguration, `"service":"pool"`, `"service":""`, 1)), 0o600)).To(Succeed())
		out, _ := run(strings.Replace(validConfiguration, `"version":7`, `"version":8`, 1), "-", "--against", file)
		Expect(out).To(ContainSubstring(`~ routes[q].service: "" -> "pool"`))
	})

	It("reads standard input for one of the two files only", func() {
		_, err := run(validConfiguration, "-", "--against", "-")
		Expect(err).To(MatchError(ContainSubstring("standard input")))
	})

	It("names a file that can't be read", func() {
		_, err := run("", "missing.json")
		Expect(err).To(MatchError(ContainSubstring("missing.json")))
	})
})
