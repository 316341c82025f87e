// Package zonelist has the command that lists the availability zones.
package zonelist

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *operatorflags.Options) error) *cobra.Command {
	query := operatorflags.Query[[]control.ZoneAnswer]{
		Fetch: func(ctx context.Context, client control.Client) ([]control.ZoneAnswer, error) {
			return client.Zones(ctx)
		},
		Print: printZones,
	}
	return query.NewCmd(f, &cobra.Command{
		Use:     "list",
		Short:   "List the availability zones and whether they are in service",
		Example: "  $ jacinthtrail zone list --json",
	}, runF)
}

func printZones(out io.Writer, zones []control.ZoneAnswer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tREGION\tSERVICE\tCHANGED\tBY")
	for _, z := range zones {
		changed := "-"
		if !z.Status.At.IsZero() {
			changed = z.Status.At.Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", z.Name, z.Region, z.Status.Service, changed, z.Status.By)
	}
	return table.Flush()
}
