package explaindowntime_test

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

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/explaindowntime"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
)

func TestExplainDowntime(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Explain downtime command")
}

// downtimeLog is the log of a task that was down for 11 s with room in the other shard.
const downtimeLog = `{"Instance":"n1","Event":"TaskStart","Shard":0,"Task":"j/0/0/0","Run":1,"Worker":"w","Reason":"Accepted","time":"2026-01-05T04:00:00Z"}
{"Instance":"n1","Event":"TaskLost","Shard":0,"Task":"j/0/0/0","Run":1,"Worker":"w","Reason":"lease ended","time":"2026-01-05T04:00:01Z"}
{"Instance":"n1","Event":"TaskDownForLong","Shard":0,"Task":"j/0/0/0","Run":1,"Reason":"lease ended; waits for room","Took":4000,"Awaits":"Room","Processors":2000,"Memory":64,"time":"2026-01-05T04:00:05Z"}
{"Instance":"n2","Event":"ShardRoom","Shard":1,"Free":[{"Processors":4000,"Memory":128}],"time":"2026-01-05T04:00:08Z"}
{"Instance":"n2","Event":"ShardRoom","Shard":1,"Free":[{"Processors":4000,"Memory":128}],"time":"2026-01-05T04:00:09.5Z"}
{"Instance":"n1","Event":"TaskStart","Shard":0,"Task":"j/0/0/0","Run":2,"Worker":"v","Reason":"Accepted","time":"2026-01-05T04:00:12Z"}
`

// execute runs the command with the given standard input and arguments and returns its output. If the
// options aren't nil, it sets them instead of running the command.
func execute(input string, options *explaindowntime.Options, args ...string) (string, error) {
	var out bytes.Buffer
	f := &factory.Factory{
		IO:        factory.IOStreams{In: strings.NewReader(input), Out: &out, ErrOut: &out},
		LookupEnv: func(string) (string, bool) { return "", false },
	}
	var runF func(context.Context, *explaindowntime.Options) error
	if options != nil {
		runF = func(_ context.Context, o *explaindowntime.Options) error {
			*options = *o
			return nil
		}
	}
	cmd := explaindowntime.NewCmd(f, runF)
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

var _ = Describe("explain downtime", func() {
	It("prints a table from files and standard input", func() {
		file := filepath.Join(GinkgoT().TempDir(), "n1.log")
		Expect(os.WriteFile(file, []byte(downtimeLog), 0o600)).To(Succeed())
		for _, from := range []string{file, "-"} {
			out, err := execute(downtimeLog, nil, "--from", from)
			Expect(err).NotTo(HaveOccurred())
			Expect(out).To(MatchRegexp(`j/0/0/0 +0 +04:00:01.000 +11.0 +Started +0.0 +3.5 +0.0 +3.5 +0 +0 +Room 1 +lease ended\n`))
			Expect(out).To(HaveSuffix("1 downtimes; end: Started 1; reason: lease ended 1; waits: Room 1; " +
				"room for 3 s: Anywhere 1, OtherShards 1, none 0, unknown 0; other tasks started: 0\n"))
		}
	})

	It("prints JSON", func() {
		out, err := execute(downtimeLog, nil, "--from", "-", "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"OtherShards": 3500000000`))
	})

	It("reports no downtimes shorter than the given one", func() {
		out, err := execute(downtimeLog, nil, "--from", "-", "--min", "12s")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("\n0 downtimes; end: none;"))
	})

	It("passes its flags on", func() {
		var options explaindowntime.Options
		_, err := execute("", &options, "--from", "a", "--from", "b", "--min", "9s", "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(options.From).To(Equal([]string{"a", "b"}))
		Expect(options.Min).To(Equal(9 * time.Second))
		Expect(options.JSON).To(BeTrue())
	})

	It("reports all invalid flags and files that can't be read", func() {
		_, err := execute("", nil, "--min", (-time.Second).String())
		Expect(err).To(MatchError(And(ContainSubstring("from"), ContainSubstring("min"))))
		_, err = execute("", nil, "--from", "/nowhere")
		Expect(err).To(MatchError(ContainSubstring("/nowhere")))
	})
})
