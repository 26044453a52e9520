package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"celerygap.example/lib/grouper"
)

const (
	startTimeout = 20 * time.Second
	pollPeriod   = 25 * time.Millisecond
	buildTimeout = 3 * time.Minute
	// clustersAtOnce bounds the clusters, and so the processes, that run at one time.
	clustersAtOnce = 3
)

var (
	flagRace     = flag.Bool("soak.race", false, "build the programs under test with the race detector")
	flagLogs     = flag.String("soak.logs", "", "folder that keeps the logs of failed tests; empty means the system's temporary folder")
	binFolder    string
	clusterSlots = make(chan struct{}, clustersAtOnce)
	// starts passes the calls that start a process to the thread that makes them.
	starts = make(chan func())
	// ended is closed after the last test, since an engine that ends then must not be restarted.
	ended = make(chan struct{})
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	group := grouper.NewGroup(-1)
	defer group.Wait()
	defer close(ended)
	group.Go(func() {
		// Pdeathsig kills a child when the thread that started it ends, so one locked thread starts all children.
		runtime.LockOSThread()
		for {
			select {
			case start := <-starts:
				start()
			case <-ended:
				return
			}
		}
	})
	folder, err := os.MkdirTemp("", "soak-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binFolder = folder
	if err := build(folder); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 1
	}
	return m.Run()
}

func build(folder string) error {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	args := []string{"build", "-o", folder + "/"}
	if *flagRace {
		args = append(args, "-race")
	}
	args = append(args, "celerygap.example/service/cmd/celerygapd", "celerygap.example/standin/cmd/standin", "celerygap.example/operator/cmd/celerygapctl")
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return nil
}

// process is a program under test; a restart keeps its addresses.
type process struct {
	name   string
	folder string
	args   func(previous []string) []string

	// starting serializes starts, so that a restart after a crash and one by the test do not run two processes.
	starting sync.Mutex

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	exit      int
	addresses []string
	startedAt time.Time
	stopping  bool
	// onExit, when set, is called with the exit status when the process ends without a stop or kill by the test.
	onExit func(status int)
}

// addressAttempts bounds the attempts of one start, which fail while another process uses the former port.
const addressAttempts = 5

// start starts the program and waits until it has written its addresses. It does nothing if the program runs.
func (p *process) start() error {
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.running() {
		return nil
	}
	var err error
	for range addressAttempts {
		if err = p.startOnce(); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}

func (p *process) startOnce() error {
	file := filepath.Join(p.folder, p.name+".address")
	_ = os.Remove(file)
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.mu.Lock()
	args := append(p.args(p.addresses), "--address-file", file)
	p.mu.Unlock()
	cmd := exec.Command(filepath.Join(binFolder, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(cmd); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.stopping, p.startedAt = cmd, done, false, time.Now()
	p.mu.Unlock()
	// The goroutine ends with the process, which the cluster kills at the end of its test.
	grouper.NewGroup(-1).Go(func() { p.wait(cmd, log, done) })
	return p.awaitAddresses(file, done)
}

func startOnThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	select {
	case starts <- func() { result <- cmd.Start() }:
		return <-result
	case <-ended:
		return errors.New("the tests have ended")
	}
}

func (p *process) wait(cmd *exec.Cmd, log *os.File, done chan struct{}) {
	_ = cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.exit = cmd.ProcessState.ExitCode()
	unexpected := !p.stopping && len(p.addresses) > 0
	status, onExit := p.exit, p.onExit
	p.mu.Unlock()
	close(done)
	if unexpected && onExit != nil {
		onExit(status)
	}
}

func (p *process) awaitAddresses(file string, done chan struct{}) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if text, err := os.ReadFile(file); err == nil {
			p.mu.Lock()
			p.addresses = strings.Fields(string(text))
			p.mu.Unlock()
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%s ended with status %d before it listened on its addresses; see its log in %s", p.name, p.exit, p.folder)
		case <-time.After(pollPeriod):
		}
	}
	p.kill()
	return fmt.Errorf("%s did not listen on its addresses within %v", p.name, startTimeout)
}

// signal sends a signal to the process group of a running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.done:
	default:
		_ = syscall.Kill(-p.cmd.Process.Pid, s)
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() { _ = p.end(syscall.SIGKILL, startTimeout) }

// end sends the signal and waits for the end of the process. It kills a process that still runs after the limit and
// returns an error.
func (p *process) end(s syscall.Signal, limit time.Duration) error {
	p.mu.Lock()
	p.stopping = true
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	p.signal(s)
	select {
	case <-done:
		return nil
	case <-time.After(limit):
	}
	p.signal(syscall.SIGKILL)
	<-done
	return errors.New(p.name + " did not end within " + limit.String())
}

// url returns the base URL of the process for callers.
func (p *process) url() string { return "http://" + p.address(0) }

func (p *process) address(i int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[i]
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) started() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedAt
}

func (p *process) uptime() time.Duration { return time.Since(p.started()) }
