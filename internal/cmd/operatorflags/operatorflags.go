// Package operatorflags has the flags of the commands that call the operator API of an
// entry instance.
package operatorflags

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/settings"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// Flags has the address of the entry instance to call and how to print its answer.
type Flags struct {
	Operator string
	JSON     bool
	Timeout  time.Duration
}

// Add adds the flags to a command.
func (o *Flags) Add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.Operator, "operator", "127.0.0.1:7402", "operator `address` of an entry instance (IP address and port)")
	cmd.Flags().BoolVar(&o.JSON, "json", false, "print the answer as JSON")
	cmd.Flags().DurationVar(&o.Timeout, "timeout", 30*time.Second, "time to wait for the answer")
}

// Check reads the environment and reports all invalid flags.
func (o *Flags) Check(cmd *cobra.Command, f *factory.Factory) error {
	if err := settings.Apply(cmd, f.LookupEnv); err != nil {
		return err
	}
	var findings settings.Findings
	if _, err := netip.ParseAddrPort(o.Operator); err != nil {
		findings.Add("operator", fmt.Sprintf("%q is not an address", o.Operator), "give an IP address and port, such as 127.0.0.1:7402")
	}
	if o.Timeout <= 0 {
		findings.Add("timeout", fmt.Sprintf("%s is not positive", o.Timeout), "give a duration such as 30s")
	}
	return findings.Err()
}

// Client returns a client for the operator API of the entry instance.
func (o *Flags) Client() control.Client {
	return control.Client{Address: o.Operator}
}

// PrintJSON writes a value as indented JSON.
func PrintJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Author returns the name of the user who runs the command, which change records have
// by default.
func Author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
