// Command jacinthtrail schedules latency-critical services and batch tasks on
// shared instances.
package main

import (
	"os"

	"github.com/jacinthtrail/jacinthtrail/internal/cmd/factory"
	"github.com/jacinthtrail/jacinthtrail/internal/cmd/root"
)

func main() {
	os.Exit(root.ExitCode(root.Execute(factory.New())))
}
