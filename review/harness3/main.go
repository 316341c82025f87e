// Package main has the stand-ins and the scripted cases of the third review: a store, executors, clients
// and the start of the project's own processes, all on loopback addresses.
//
// It is run in the root of the repository as "review3 CASE FOLDER". It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit ends a case that hangs.
	timeLimit = 118 * time.Second
)

// scenario plays a case and returns what breaks the rule, one line each. With trouble, it has the disruption.
type scenario func(rec *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"cancelled-after-504": cancelledAfterTimeout,
	"other-kind":          otherKind,
	"scheduled-jobs":      scheduledJobs,
}

func main() {
	os.Exit(run3(os.Args))
}

func run3(args []string) int {
	if len(args) != 3 || scenarios[args[1]] == nil {
		fmt.Println("usage: review3 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		broken, err := scenarios[args[1]](rec, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		return report(rec, o.broken, o.err)
	case <-time.After(timeLimit):
		rec.say("couldn't run: the time is over")
		return exitNotRun
	}
}

func report(rec *record, broken []string, err error) int {
	if err != nil {
		rec.say("couldn't run: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.say("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
