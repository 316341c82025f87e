package manifest

import (
	"fmt"
	"strings"
)

// MaxFindings bounds the findings that are collected; the last one then tells
// that there are more.
const MaxFindings = 1000

// maxQuoted is the longest part of a manifest that a finding repeats, in bytes.
const maxQuoted = 80

// Finding is a fault of a manifest.
type Finding struct {
	// Place is where the fault is, for example Services[2].Target. It is empty for
	// the whole manifest.
	Place string
	// Problem tells what is wrong.
	Problem string
	// Fix tells what to write instead.
	Fix string
}

// String returns the finding as one line.
func (f Finding) String() string {
	place := f.Place
	if place == "" {
		place = "manifest"
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Fix)
}

// Findings are all faults of a manifest. As an error they name each.
type Findings []Finding

// Error returns the findings, one on each line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// add appends a finding. It drops those beyond MaxFindings.
func (f *Findings) add(place, fix, problem string, args ...any) {
	if f.full() {
		return
	}
	if len(*f) == MaxFindings-1 {
		*f = append(*f, Finding{Problem: "there are more findings", Fix: "fix these first and check again"})
		return
	}
	*f = append(*f, Finding{Place: place, Problem: fmt.Sprintf(problem, args...), Fix: fix})
}

func (f *Findings) full() bool {
	return len(*f) >= MaxFindings
}

// shorten cuts text from a manifest, so that findings stay small.
func shorten[T ~string](text T) string {
	if len(text) <= maxQuoted {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:maxQuoted]), "") + "..."
}
