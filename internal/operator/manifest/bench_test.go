package manifest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// benchManifest returns a manifest of the size that is expected after two years of growth:
// 15 zones, 220 teams and 1000 classes.
func benchManifest() manifest.Manifest {
	quota := resource.Vector{Processors: 100_000, Memory: 1e12}
	var m manifest.Manifest
	for i := range 15 {
		m.Zones = append(m.Zones, manifest.Zone{Name: membership.Zone(fmt.Sprintf("zone-%d", i)), Region: membership.Region(fmt.Sprintf("region-%d", i%7))})
	}
	for i := range 220 {
		m.Teams = append(m.Teams, manifest.Team{Name: manifest.TeamName(fmt.Sprintf("team-%d", i)), Quota: quota, UrgentQuota: quota, Weight: 1})
	}
	for i := range 1000 {
		m.Classes = append(m.Classes, manifest.Class{
			Name: manifest.ClassName(fmt.Sprintf("class-%d", i)), Team: m.Teams[i%220].Name,
			Resources: resource.Vector{Processors: 2000, Memory: 2e9}, ExpectedDuration: manifest.Duration(time.Minute),
		})
	}
	for i := range 40 {
		m.Services = append(m.Services, manifest.Service{
			Name: manifest.ServiceName(fmt.Sprintf("service-%d", i)), Target: manifest.Duration(250 * time.Millisecond),
			MaxDuration: manifest.Duration(5 * time.Second), ErrorBudget: 10, RetryShare: 100,
		})
	}
	return manifest.Defaults(m)
}

// BenchmarkLoad measures Load, which decodes and checks a manifest for its publication.
func BenchmarkLoad(b *testing.B) {
	content := benchContent(b)
	began := process.CPUTime()
	for b.Loop() {
		if _, err := manifest.Load(bytes.NewReader(content)); err != nil {
			b.Fatal(err)
		}
	}
	report(b, began, content)
}

// BenchmarkReceive measures the unchecked decoding of a manifest from a peer or the table.
func BenchmarkReceive(b *testing.B) {
	content := benchContent(b)
	began := process.CPUTime()
	for b.Loop() {
		var m manifest.Manifest
		if err := json.Unmarshal(content, &m); err != nil {
			b.Fatal(err)
		}
	}
	report(b, began, content)
}

func benchContent(b *testing.B) []byte {
	content, err := json.Marshal(benchManifest())
	if err != nil {
		b.Fatal(err)
	}
	return content
}

func report(b *testing.B, began time.Duration, content []byte) {
	b.ReportMetric(float64(process.CPUTime()-began)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(len(content)), "B/manifest")
}
