package manifest

import "io"

// Load decodes a manifest, sets the defaults and checks the result. It fails with Findings
// that list all faults, or with the error of the reader.
func Load(r io.Reader) (Manifest, error) {
	m, err := Decode(r, MaxSize)
	if err != nil {
		return Manifest{}, err
	}
	m = Defaults(m)
	return m, Check(m).Err()
}
