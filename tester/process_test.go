package tester_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
	// shownOutput is the number of bytes that a failed test shows from the end of a process's output.
	shownOutput = 8 << 10
	// invariantFailed, the event of a failed invariant, and panicked fail a test if a process writes them.
	invariantFailed = `"event":1006`
	panicked        = "panic:"
)

// programs maps the names of the programs, which TestMain builds once, to their packages.
var programs = map[string]string{
	"celerygapd": "celerygap.example/service/cmd/celerygapd",
	"standin":    "celerygap.example/standin/cmd/standin",
}

// binaries is the folder with the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "celerygap-tester-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	for name, path := range programs {
		output, err := exec.Command("go", "build", "-race=false", "-o", filepath.Join(folder, name), path).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", path, err, output)
			return 1
		}
	}
	return m.Run()
}

// output collects what a process writes. It is safe for concurrent use, since os/exec writes it while the test reads.
type output struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends p and never fails.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// String returns all that has been written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// process is one started program.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	stdout output
	stderr output
	// addresses are the words of the address file: for a host, the address for callers and that for other hosts.
	addresses []string
	// done is closed when the process has ended; err is the result of waiting for it.
	done   chan struct{}
	err    error
	waiter *grouper.Group
}

// start runs a program and waits until it listens; the process is killed when the test ends.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "address")
	p := &process{t: t, name: name, done: make(chan struct{}), waiter: grouper.NewGroup(1)}
	p.cmd = exec.Command(filepath.Join(binaries, program), append(args, "--address-file", file)...)
	p.cmd.Stdout = &p.stdout
	p.cmd.Stderr = &p.stderr
	require.NoError(t, p.cmd.Start())
	p.waiter.Go(func() {
		p.err = p.cmd.Wait()
		close(p.done)
	})
	t.Cleanup(p.cleanUp)
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && !p.ended() {
		if content, err := os.ReadFile(file); err == nil {
			p.addresses = strings.Fields(string(content))
			return p
		}
		time.Sleep(pollInterval)
	}
	require.Fail(t, name+" did not start to listen", p.stderr.String())
	return nil
}

func (p *process) address() string { return p.addresses[0] }

func (p *process) url() string { return "http://" + p.address() }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop requests a planned stop with SIGTERM and returns the process's result. A process that does not stop in time
// writes its goroutine stacks and ends, and stop returns an error.
func (p *process) stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		// On SIGQUIT the runtime writes all stacks, which show what the process waits for.
		_ = p.cmd.Process.Signal(syscall.SIGQUIT)
		<-p.done
		return fmt.Errorf("%s did not stop within %v", p.name, stopTimeout)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) cleanUp() {
	if !p.ended() {
		p.kill()
	}
	p.waiter.Wait()
	text := p.stderr.String()
	for _, sign := range []string{invariantFailed, panicked} {
		if strings.Contains(text, sign) {
			p.t.Errorf("%s wrote %s", p.name, sign)
		}
	}
	if !p.t.Failed() {
		return
	}
	p.t.Logf("%s wrote:\n%s", p.name, text[max(0, len(text)-shownOutput):])
}
