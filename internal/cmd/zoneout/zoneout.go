// Package zoneout has the command that takes an availability zone out of service.
package zoneout

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
		Use:     "out <zone>",
		Short:   "Take an availability zone out of service",
		Long:    "Take an availability zone out of service. No more tasks start there, running tasks write checkpoints and move to other zones, and requests go to other zones.",
		Example: "  $ jacinthtrail zone out kzn-bal",
	}, zone.OutOfService, runF)
}
