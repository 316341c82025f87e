package replay_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/replay"
)

func entries() []any {
	var list []any
	for _, name := range replay.Names {
		list = append(list, Entry(name, name))
	}
	return list
}

func generated(name string) []replay.Record {
	GinkgoHelper()
	records, err := replay.Generate(name)
	Expect(err).NotTo(HaveOccurred())
	return records
}

func replayed(name string, policy replay.PolicyName) (replay.Report, replay.Outcome) {
	GinkgoHelper()
	report, outcome, err := replay.Run(name, generated(name), policy)
	Expect(err).NotTo(HaveOccurred())
	return report, outcome
}

var _ = DescribeTable("The engine reaches the outcome of", append([]any{func(name string) {
	report, outcome := replayed(name, replay.Engine)
	Expect(outcome.Check(report)).To(BeEmpty())
}}, entries()...)...)

var _ = DescribeTable("The stored trace is what the generator makes of", append([]any{func(name string) {
	var made bytes.Buffer
	Expect(replay.Write(&made, generated(name))).To(Succeed())
	stored, err := os.ReadFile(filepath.Join("..", "..", "..", "testdata", "traces", name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	Expect(made.String() == string(stored)).To(BeTrue(), "run jacinthtrail replay --generate")
}}, entries()...)...)

var _ = Describe("Run", func() {
	It("gives the same report each time", func() {
		first, _ := replayed("noisy-wave", replay.Engine)
		second, _ := replayed("noisy-wave", replay.Engine)
		Expect(first).To(Equal(second))
		other, _ := replayed("bad-worker", replay.BestFit)
		again, _ := replayed("bad-worker", replay.BestFit)
		Expect(other).To(Equal(again))
	})

	DescribeTable("keeps the service within its target where the baselines don't", func(name string) {
		engine, _ := replayed(name, replay.Engine)
		Expect(engine.P99).To(BeNumerically("<=", 1))
		for _, policy := range replay.Policies[1:] {
			baseline, _ := replayed(name, policy)
			Expect(baseline.P99).To(BeNumerically(">", 1))
		}
	}, Entry("sudden-rain", "sudden-rain"), Entry("noisy-wave", "noisy-wave"))

	DescribeTable("refuses", func(record replay.Record, text string) {
		records := append(generated("bad-worker")[:1], record)
		_, _, err := replay.Run("t", records, replay.Engine)
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("an unknown kind", replay.Record{Kind: "Other"}, "Other"),
		Entry("a worker that isn't there", replay.Record{Kind: replay.KindFault, Fact: json.RawMessage(`{"Worker":99}`)}, "no worker 99"),
		Entry("a fact of another shape", replay.Record{Kind: replay.KindLoad, Fact: json.RawMessage(`[]`)}, "Load at 0s"),
	)
})

var _ = DescribeTable("Read refuses", func(text, message string) {
	_, err := replay.Read(strings.NewReader(text))
	Expect(err).To(MatchError(ContainSubstring(message)))
},
	Entry("nothing", "", "begins with a Setup"),
	Entry("a broken line", "{}\n{", "line 2"),
)

var _ = It("Score marks who loses for whom", func() {
	reports := []replay.Report{
		{Trace: "t", Policy: replay.Engine, Work: 90, Finished: 10, LateShare: 0.005},
		{Trace: "t", Policy: replay.FirstFit, Work: 100, Finished: 10, LateShare: 0.02},
	}
	replay.Score(reports)
	Expect(reports[0].Scores[replay.Trust]).To(BeNumerically(">", reports[1].Scores[replay.Trust]))
	var table bytes.Buffer
	Expect(replay.Print(&table, reports)).To(Succeed())
	Expect(table.String()).To(ContainSubstring("-"))
})
