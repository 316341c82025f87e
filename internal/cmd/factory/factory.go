// Package factory has the dependencies that all commands share.
package factory

import (
	"io"
	"os"

	"github.com/jonboulle/clockwork"
)

// IOStreams are the streams that a command reads from and writes to.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
}

// Factory has the dependencies of a command. Tests replace its fields.
type Factory struct {
	IO        IOStreams
	Clock     clockwork.Clock
	LookupEnv func(name string) (value string, ok bool)
}

// New returns a Factory for a process: standard streams, the system clock and
// the process environment.
func New() *Factory {
	return &Factory{
		IO:        IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr},
		Clock:     clockwork.NewRealClock(),
		LookupEnv: os.LookupEnv,
	}
}
