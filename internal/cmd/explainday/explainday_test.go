package explainday_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/explainday"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
)

func TestExplainDay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Explain day command")
}

// lateJobLog is the log of a job that waited four seconds for a worker.
const lateJobLog = `{"Instance":"n1","Event":"JobAdded","Job":"j","Reason":"q","Objective":1000,"time":"2026-01-05T04:00:00Z"}
{"Instance":"n1","Event":"TaskStart","Task":"j/0/0/0","Run":1,"Worker":"w","Reason":"Accepted","time":"2026-01-05T04:00:04Z"}
{"Instance":"n1","Event":"JobCompleted","Job":"j","Took":5000,"Objective":1000,"time":"2026-01-05T04:00:05Z"}
`

// execute runs the command with the given standard input and arguments and returns its
// output.
func execute(input string, args ...string) (string, error) {
	var out bytes.Buffer
	f := &factory.Factory{
		IO:        factory.IOStreams{In: strings.NewReader(input), Out: &out, ErrOut: &out},
		LookupEnv: func(string) (string, bool) { return "", false },
	}
	cmd := explainday.NewCmd(f, nil)
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

var _ = Describe("explain day", func() {
	It("prints a table from files and standard input", func() {
		file := filepath.Join(GinkgoT().TempDir(), "n1.log")
		Expect(os.WriteFile(file, []byte(lateJobLog), 0o600)).To(Succeed())
		for _, from := range []string{file, "-"} {
			out, err := execute(lateJobLog, "--from", from)
			Expect(err).NotTo(HaveOccurred())
			Expect(out).To(ContainSubstring("WaitedForRoom 4 (1)"))
			Expect(out).To(ContainSubstring("j took 5s, objective 1s: WaitedForRoom"))
		}
	})

	It("prints JSON", func() {
		out, err := execute(lateJobLog, "--from", "-", "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"Worthless": 1`))
	})

	It("reports all invalid flags and files that can't be read", func() {
		_, err := execute("", "--span", (-time.Second).String())
		Expect(err).To(MatchError(And(ContainSubstring("from"), ContainSubstring("span"))))
		_, err = execute("", "--from", "/nowhere")
		Expect(err).To(MatchError(ContainSubstring("/nowhere")))
	})
})
