package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Seconds returns the time of a moment on the record.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Printf adds a line and returns its time.
func (r *Record) Printf(format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.Seconds(now), fmt.Sprintf(format, args...))
	return now
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
