// Command harness2 runs the scripted cases of the second review. It starts the entry instances
// of a small deployment as separate processes, with stand-ins for the platform's store, the
// executors and the clients, and checks one rule.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// caseFunc plays a case. Its error means that the case couldn't run.
type caseFunc func(ctx context.Context, d *deployment, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"foreign-entry":    playForeignEntry,
	"many-occurrences": playManyOccurrences,
	"far-date":         playFarDate,
	"far-occurrences":  playFarOccurrences,
	"early-start":      playEarlyStart,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	recordPath := flag.String("record", "record.txt", "`path` of the record")
	seed := flag.Uint64("seed", 1, "`seed` of the clients")
	flag.Parse()
	os.Exit(run(*name, *recordPath, *seed, os.Getenv("TROUBLE") != "0"))
}

func run(name, recordPath string, seed uint64, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCouldNot
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer file.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r := newRecord(file)
	defer r.flush()
	r.write("case %s, trouble %v, seed %d", name, trouble, seed)
	d, err := newDeployment(ctx, r, rand.New(rand.NewPCG(seed, 2)))
	if err != nil {
		r.write("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitCouldNot
	}
	defer d.close()
	v, err := play(ctx, d, trouble)
	if err != nil {
		r.write("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitCouldNot
	}
	r.write("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		r.write("verdict: the rule was broken")
		fmt.Println("verdict: the rule was broken")
		return exitBroken
	}
	r.write("verdict: the rule held")
	fmt.Println("verdict: the rule held")
	return exitHeld
}
