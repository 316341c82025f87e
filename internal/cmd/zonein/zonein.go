// Package zonein has the command that brings an availability zone back into service.
package zonein

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/zonechange"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/zone"
)

// NewCmd returns the command. Tests replace its run function with runF.
func NewCmd(f *factory.Factory, runF func(context.Context, *zonechange.Options) error) *cobra.Command {
	return zonechange.NewCmd(f, &cobra.Command{
		Use:     "in <zone>",
		Short:   "Bring an availability zone back into service",
		Long:    "Bring an availability zone back into service. Tasks start there again, at a rate that rises over the return ramp of the manifest.",
		Example: "  $ jacinthtrail zone in kzn-bal",
	}, zone.InService, runF)
}
