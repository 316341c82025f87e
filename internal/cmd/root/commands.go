package root

import (
	"github.com/spf13/cobra"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/configurationcheck"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/demo"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/experimentadmission"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/experimentgrants"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/explain"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/load"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/manifestcheck"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/manifestpublish"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/manifestshow"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/replay"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/serve"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/serveplatform"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinexecutor"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinplatform"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/standinworker"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/status"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/zonein"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/zonelist"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/zoneout"
)

// addCommands adds the subcommands. Commands on the same kind of object are in a group.
func addCommands(root *cobra.Command, f *factory.Factory) {
	root.AddCommand(demo.NewCmd(f, nil), load.NewCmd(f, nil), serve.NewCmd(f, nil), serveplatform.NewCmd(f, nil), status.NewCmd(f, nil), explain.NewCmd(f, nil), replay.NewCmd(f, nil))
	root.AddCommand(newGroup("configuration", "Check configurations of the users' platform",
		"  $ jacinthtrail configuration check next.json --against in-force.json",
		configurationcheck.NewCmd(f, nil)))
	root.AddCommand(newGroup("experiment", "Compare policies in simulated time",
		"  $ jacinthtrail experiment admission --seed 1",
		experimentadmission.NewCmd(f, nil), experimentgrants.NewCmd(f, nil)))
	root.AddCommand(newGroup("manifest", "Check, publish and show manifests",
		"  $ jacinthtrail manifest check examples/umhlanga.json",
		manifestcheck.NewCmd(f, nil), manifestpublish.NewCmd(f, nil), manifestshow.NewCmd(f, nil)))
	root.AddCommand(newGroup("zone", "Take availability zones out of service and bring them back",
		"  $ jacinthtrail zone out kzn-bal",
		zoneout.NewCmd(f, nil), zonein.NewCmd(f, nil), zonelist.NewCmd(f, nil)))
	root.AddCommand(newGroup("standin", "Run stand-ins of outside systems for tests and demonstrations",
		"  $ jacinthtrail standin platform --address 127.0.0.1:7400",
		standinplatform.NewCmd(f, nil), standinworker.NewCmd(f, nil), standinexecutor.NewCmd(f, nil)))
}

// newGroup returns a command that only has subcommands.
func newGroup(name, short, example string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: name + " <command>", Short: short, Example: example}
	cmd.AddCommand(commands...)
	return cmd
}
