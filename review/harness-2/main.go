// Command harness2 runs a case of the second review against processes of the project.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// cases maps the name of a case to its function, which returns whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (held bool, err error){
	"added-route":   addedRoute,
	"decoded-path":  decodedPath,
	"old-score":     oldScore,
	"forgotten-end": forgottenEnd,
	"extra-answer":  extraAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*deployment, bool) (bool, error), path string) int {
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	store, err := newStore()
	if err != nil {
		record.printf("the case could not run: %v", err)
		return exitNotRun
	}
	d := &deployment{record: record, store: store}
	trouble := os.Getenv("TROUBLE") != "0"
	d.printf("trouble: %t", trouble)
	time.AfterFunc(maxDuration, func() {
		d.printf("the case took too long")
		d.stop()
		os.Exit(exitNotRun)
	})
	held, err := run(d, trouble)
	d.stop()
	switch {
	case err != nil:
		d.printf("the case could not run: %v", err)
		return exitNotRun
	case held:
		d.printf("the rule held")
		return exitHeld
	}
	d.printf("the rule was broken")
	return exitBroken
}
