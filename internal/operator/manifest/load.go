package manifest

import "io"

// Load reads a manifest, fills in defaults and checks it. The error has all
// findings, each with its place and fix.
func Load(r io.Reader) (Manifest, error) {
	m, err := Decode(r, MaxSize)
	if err != nil {
		return Manifest{}, err
	}
	m = Defaults(m)
	return m, Check(m).Err()
}
