package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

const hostName = "ficu95.example"

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// stage is what a case works with.
type stage struct {
	root    string
	trouble bool
	record  *record
	fleets  []*fleet
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

var current *stage

func cannotRun(format string, arguments ...any) {
	fmt.Printf("cannot run: "+format+"\n", arguments...)
	current.end(exitCannot)
}

// end stops all processes and ends the program.
func (s *stage) end(status int) {
	if s != nil {
		for _, f := range s.fleets {
			f.stop()
		}
	}
	os.Exit(status)
}

// fleet prepares hosts that stop ends.
func (s *stage) fleet(st *store, count int, changed map[string]string) *fleet {
	f := newFleet(s.root, st, count, changed)
	s.fleets = append(s.fleets, f)
	return f
}

// verdict writes the result and ends the program.
func (s *stage) verdict(broken bool, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	result, status := "held", exitHeld
	if broken {
		result, status = "broken", exitBroken
	}
	s.record.line("verdict: %s: %s", result, text)
	fmt.Printf("%s: %s\n", result, text)
	s.end(status)
}

func main() {
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "what was sent, answered and run")
	flag.Parse()
	absolute, err := filepath.Abs(*root)
	must(err)
	file, err := os.Create(*out)
	must(err)
	current = &stage{root: absolute, trouble: os.Getenv("TROUBLE") != "0", record: &record{file: file, began: time.Now()}}
	// No case takes longer.
	time.AfterFunc(110*time.Second, func() { cannotRun("the case has not ended in time") })
	play, ok := cases[flag.Arg(0)]
	if !ok {
		cannotRun("there is no case %q", flag.Arg(0))
	}
	current.record.line("case %s, trouble %v", flag.Arg(0), current.trouble)
	play(current)
	cannotRun("the case has no verdict")
}
