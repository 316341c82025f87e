// Package manifestshow has the command that prints the manifest in force.
package manifestshow

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/operatorflags"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/control"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/manifest"
)

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *operatorflags.Options) error) *cobra.Command {
	query := operatorflags.Query[manifest.Published]{
		Fetch: func(ctx context.Context, client control.Client) (manifest.Published, error) {
			return client.Manifest(ctx)
		},
	}
	return query.NewCmd(f, &cobra.Command{
		Use:     "show",
		Short:   "Print the manifest in force on an entry instance as JSON",
		Example: "  $ jacinthtrail manifest show",
	}, runF)
}
