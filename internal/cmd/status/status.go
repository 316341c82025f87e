// Package status has the command that describes an entry instance.
package status

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
)

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *operatorflags.Options) error) *cobra.Command {
	query := operatorflags.Query[control.StatusAnswer]{
		Fetch: func(ctx context.Context, client control.Client) (control.StatusAnswer, error) {
			return client.Status(ctx)
		},
		Print: printStatus,
	}
	return query.NewCmd(f, &cobra.Command{
		Use:     "status",
		Short:   "Describe an entry instance, its shards and its peers",
		Example: "  $ jacinthtrail status --operator 127.0.0.1:7402",
	}, runF)
}

func printStatus(out io.Writer, answer control.StatusAnswer) error {
	ready := "ready"
	if !answer.Ready {
		ready = "not ready: " + answer.NotReady
	}
	fmt.Fprintf(out, "%s in %s (%s): %s, manifest %d\n", answer.ID, answer.Zone, answer.Region, ready, answer.Manifest)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SHARD\tEPOCH\tSTATE\tWORKERS\tQUEUED\tRUNNING\tPARKED JOBS")
	for _, s := range answer.Shards {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%d\n", s.Shard, s.Epoch, s.State, s.Workers, s.QueuedTasks, s.Running, s.ParkedJobs)
	}
	fmt.Fprintln(table, "PEER\tZONE\tMANIFEST\tSILENT FOR\tOWNS")
	for _, p := range answer.Peers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", p.ID, p.Zone, p.Manifest, p.Silent, strings.Join(p.Shards, " "))
	}
	return table.Flush()
}
