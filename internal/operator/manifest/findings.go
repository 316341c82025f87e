package manifest

import (
	"fmt"
	"strings"
)

// MaxFindings is the maximum number of findings. If there are more, the last one says so.
const MaxFindings = 1000

// maxQuotedBytes is the maximum length of a quotation from a manifest in a finding.
const maxQuotedBytes = 80

// Finding is a fault of a manifest.
type Finding struct {
	// Place is the path of the fault, for example Services[2].Target. It is empty if the
	// fault is in the manifest as a whole.
	Place string
	// Problem says what is wrong.
	Problem string
	// Fix says how to correct it.
	Fix string
}

// String formats the finding as one line.
func (f Finding) String() string {
	place := f.Place
	if place == "" {
		place = "manifest"
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Fix)
}

// Findings holds all faults of a manifest. It is an error that lists each of them.
type Findings []Finding

// Error returns the findings, one on each line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// add appends a finding, unless there are MaxFindings already. The finding that would be
// the last one is replaced by one that says that there are more.
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

// shorten truncates a quotation from a manifest to maxQuotedBytes.
func shorten[T ~string](text T) string {
	if len(text) <= maxQuotedBytes {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:maxQuotedBytes]), "") + "..."
}
