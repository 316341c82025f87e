// Command harness runs the scripted cases of the review: it starts entry instances as separate
// processes beside stand-ins for the platform's store, for executors and for clients, and checks
// the rules TWICE and LOST from what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
)

// background has the goroutines of the stand-ins. They run until the process exits.
var background sync.WaitGroup

// running is the deployment of the case.
var running atomic.Pointer[deployment]

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs one case. With trouble false, it does the same without the disruption.
type scenario func(j *judge, trouble bool) error

var scenarios = map[string]scenario{
	"many-ends":   runManyEnds,
	"leaving-cut": runLeavingCut,
	"rack-gang":   runRackGang,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// closeOnSignal ends the processes that the case started if the case itself is told to stop.
func closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	background.Go(func() {
		<-signals
		if d := running.Load(); d != nil {
			d.close()
		}
		os.Exit(exitNotRun)
	})
}

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	j, err := newJudge(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	closeOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("case %s, with the disruption: %t", args[0], trouble)
	if err := scenarios[args[0]](j, trouble); err != nil {
		j.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	twice := j.verdict()
	if twice > 0 || j.failures > 0 {
		fmt.Printf("TWICE broken for %d tasks, other rules %d times\n", twice, j.failures)
		return exitBroken
	}
	fmt.Println("the rules hold")
	return exitHeld
}
