package manifest_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

const examples = "../../../examples/"

func example() manifest.Manifest {
	content, err := os.ReadFile(examples + "umhlanga.json")
	Expect(err).NotTo(HaveOccurred())
	m, err := manifest.Decode(bytes.NewReader(content), 0)
	Expect(err).NotTo(HaveOccurred())
	return m
}

func places(findings manifest.Findings) []string {
	var all []string
	for _, finding := range findings {
		Expect(finding.Problem).NotTo(BeEmpty())
		Expect(finding.Fix).NotTo(BeEmpty())
		all = append(all, finding.Place)
	}
	return all
}

var _ = Describe("Decode", func() {
	DescribeTable("reports every fault of the JSON text",
		func(text string, want ...string) {
			_, err := manifest.Decode(strings.NewReader(text), 1<<10)
			var findings manifest.Findings
			Expect(errors.As(err, &findings)).To(BeTrue(), "%v", err)
			Expect(places(findings)).To(Equal(want))
		},
		Entry("unknown fields", `{"Zone":[],"Limits":{"maxPayload":1}}`, "Zone", "Limits.maxPayload"),
		Entry("duplicate fields", `{"Zones":[],"Zones":[{"Name":"a","Name":"b"}]}`, "Zones", "Zones[0].Name"),
		Entry("duplicate fields in an unknown field", `{"X":{"Y":1,"Y":2}}`, "X", "X.Y"),
		Entry("values of the wrong type", `{"Zones":{},"Teams":[[]],"Limits":{"MaxPayload":1.5,"ReturnRamp":60}}`,
			"Zones", "Teams[0]", "Limits.MaxPayload", "Limits.ReturnRamp"),
		Entry("durations without a unit", `{"Services":[{"Target":"5"},{"Target":"x"}]}`, "Services[0].Target", "Services[1].Target"),
		Entry("null in place of an object", `{"Zones":null,"Limits":null}`, "Limits"),
		Entry("data after the manifest", `{} {}`, ""),
		Entry("truncated JSON", `{"Zones":[`, "Zones"),
		Entry("nothing", ``, ""),
		Entry("an array in place of an object", `[]`, ""),
		Entry("size", strings.Repeat(" ", 1<<10)+`{}`, ""),
		Entry("depth", `{"X":`+strings.Repeat("[", manifest.MaxDepth), "X", "X"+strings.Repeat("[0]", manifest.MaxDepth-1)),
		Entry("encoding", "{\"X\xff\":1}", ""),
	)

	It("limits the number of findings", func() {
		text := "[" + strings.Repeat(`{"A":1},`, 2*manifest.MaxFindings) + "{}]"
		_, err := manifest.Decode(strings.NewReader(`{"Zones":`+text+`}`), 0)
		Expect(err).To(HaveLen(manifest.MaxFindings))
	})
})

var _ = Describe("Check", func() {
	DescribeTable("finds",
		func(change func(*manifest.Manifest), want ...string) {
			m := example()
			change(&m)
			Expect(places(manifest.Check(m))).To(Equal(want))
			Expect(places(manifest.Check(manifest.Defaults(m)))).To(Equal(want))
		},
		Entry("a missing zone list", func(m *manifest.Manifest) { m.Zones = nil }, "Zones"),
		Entry("malformed names", func(m *manifest.Manifest) {
			m.Zones[0].Name, m.Zones[0].Region, m.Zones[1].Name = "a/b", "", "-a"
			m.Services[0].Name = manifest.ServiceName(strings.Repeat("a", manifest.MaxNameBytes+1))
		}, "Zones[0].Name", "Zones[0].Region", "Zones[1].Name", "Services[0].Name"),
		Entry("duplicate names", func(m *manifest.Manifest) {
			m.Zones[2].Name = m.Zones[0].Name
			m.Classes[1].Name = m.Classes[0].Name
		}, "Zones[2].Name", "Classes[1].Name"),
		Entry("references to unknown teams", func(m *manifest.Manifest) {
			m.Classes[0].Team, m.Teams[1].Parent = "x", "y"
		}, "Classes[0].Team", "Teams[1].Parent"),
		Entry("teams that are their own ancestors", func(m *manifest.Manifest) { m.Teams[0].Parent = "rotas" },
			"Teams[0].Parent", "Teams[1].Parent", "Teams[2].Parent"),
		Entry("a team that is its own parent", func(m *manifest.Manifest) { m.Teams[2].Parent = "office" }, "Teams[2].Parent"),
		Entry("durations that exceed the field that bounds them", func(m *manifest.Manifest) {
			m.Services[0].Target = m.Services[0].MaxDuration + 1
			m.Services[0].FirstByteTimeout = m.Services[0].MaxDuration + 1
		}, "Services[0].Target", "Services[0].FirstByteTimeout"),
		Entry("an urgent quota above the quota", func(m *manifest.Manifest) {
			m.Teams[2].UrgentQuota.Memory = m.Teams[2].Quota.Memory + 1
		}, "Teams[2].UrgentQuota"),
		Entry("a class that needs more than its quota", func(m *manifest.Manifest) { m.Classes[0].Resources.Accelerators = 1 },
			"Classes[0].Resources"),
		Entry("negative resources", func(m *manifest.Manifest) { m.Classes[0].Resources.Processors = -1 },
			"Classes[0].Resources.Processors"),
		Entry("limits out of range", func(m *manifest.Manifest) {
			m.Limits.ShardsPerZone, m.Limits.ReturnRamp = -1, manifest.Duration(-time.Second)
		}, "Limits.ShardsPerZone", "Limits.ReturnRamp"),
		Entry("too many zones", func(m *manifest.Manifest) {
			for i := range manifest.MaxZones {
				m.Zones = append(m.Zones, manifest.Zone{Name: membership.Zone(fmt.Sprint("z", i)), Region: "r"})
			}
		}, "Zones"),
	)

	It("accepts a manifest that leaves limits and bounds at their defaults", func() {
		m := example()
		m.Limits = manifest.Limits{}
		m.Services[0] = manifest.Service{Name: "s", Target: 1, MaxDuration: 2}
		Expect(manifest.Check(m)).To(BeEmpty())
		filled := manifest.Defaults(m)
		Expect(manifest.Check(filled)).To(BeEmpty())
		Expect(filled.Limits.ShardsPerZone).To(Equal(manifest.DefaultShardsPerZone))
		Expect(m.Services[0].MaxBody).To(BeZero(), "Defaults must not change its argument")
	})

	DescribeTable("accepts an example manifest",
		func(file string) {
			content, err := os.ReadFile(examples + file)
			Expect(err).NotTo(HaveOccurred())
			m, err := manifest.Decode(bytes.NewReader(content), 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(manifest.Check(m).Err()).NotTo(HaveOccurred())
		},
		Entry("Umhlanga", "umhlanga.json"),
		Entry("Amagasa", "amagasa.json"),
	)
})

// FuzzDecode guards against panics, against manifests that change when they are encoded and
// decoded again on the way to another instance, and against defaults that make a valid
// manifest invalid.
func FuzzDecode(f *testing.F) {
	for _, file := range []string{"umhlanga.json", "amagasa.json"} {
		content, err := os.ReadFile(examples + file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := manifest.Decode(bytes.NewReader(content), 0)
		if err != nil {
			return
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := manifest.Decode(bytes.NewReader(text), 0)
		if err != nil || fmt.Sprint(again) != fmt.Sprint(m) {
			t.Fatalf("manifest %v changed to %v after encoding and decoding: %v", m, again, err)
		}
		if len(manifest.Check(m)) == 0 && len(manifest.Check(manifest.Defaults(m))) > 0 {
			t.Fatalf("manifest %s is invalid with its defaults: %v", text, manifest.Check(manifest.Defaults(m)))
		}
	})
}
