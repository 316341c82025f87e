package experimentadmission

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/decision/admission"
)

func TestExperimentAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment admission")
}

var _ = Describe("The experiment admission command", func() {
	It("passes its flags to the run function", func() {
		var got *Options
		cmd := NewCmd(factory.New(), func(_ context.Context, o *Options) error {
			got = o
			return nil
		})
		cmd.SetArgs([]string{"--seed", "7", "--json"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(got.Experiment.Seed).To(BeEquivalentTo(7))
		Expect(got.JSON).To(BeTrue())
	})

	It("prints the same results for the same seed", func() {
		Expect(output(true)).To(Equal(output(true)))
		var results Results
		Expect(json.Unmarshal(output(true), &results)).To(Succeed())
		Expect(results.Rows).To(HaveLen(3))
		Expect(string(output(false))).To(ContainSubstring("FixedShare"))
	})
})

// output runs a small experiment and returns what the command prints.
func output(asJSON bool) []byte {
	GinkgoHelper()
	var out bytes.Buffer
	options := &Options{IO: factory.IOStreams{Out: &out}, JSON: asJSON}
	e := admission.DefaultExperiment(3)
	e.Executors, e.Warmup, e.MeasuredDuration, e.LoadPercents = 8, 100*time.Millisecond, 200*time.Millisecond, []int{90}
	options.Experiment = e
	Expect(run(context.Background(), options)).To(Succeed())
	return out.Bytes()
}
