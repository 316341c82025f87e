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

var _ = Describe("The command", func() {
	It("passes its flags on", func() {
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

	It("prints the same report for the same seed, against figures that can't be repeated", func() {
		Expect(output(true)).To(Equal(output(true)))
		var report Results
		Expect(json.Unmarshal(output(true), &report)).To(Succeed())
		Expect(report.Rows).To(HaveLen(3))
		Expect(string(output(false))).To(ContainSubstring("FixedShare"))
	})
})

func output(asJSON bool) []byte {
	GinkgoHelper()
	var out bytes.Buffer
	options := &Options{IO: factory.IOStreams{Out: &out}, JSON: asJSON}
	e := admission.DefaultExperiment(3)
	e.Executors, e.Warmup, e.Measured, e.LoadPercents = 8, 100*time.Millisecond, 200*time.Millisecond, []int{90}
	options.Experiment = e
	Expect(run(context.Background(), options)).To(Succeed())
	return out.Bytes()
}
