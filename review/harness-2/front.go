package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// front is one process of the project in the role front.
type front struct {
	name, listen, ready, peer string
	store                     string
	seeds                     []string
	folder                    string
	command                   *exec.Cmd
	done                      chan struct{}
	starts                    int
}

// freeAddress returns a loopback address below the range of outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprint("127.0.0.1:", 15000+rand.IntN(17000))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// start starts the process with the command of the deploy file.
func (f *front) start(first bool) error {
	settings := filepath.Join(f.folder, f.name+".conf")
	text := "node_name=" + f.name + "\nrole=front\nmachine_class=front\nzone=zone-a\nbounds.settle_ms=1000\nbounds.config_apply_ms=2500\nbounds.status_s=120\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	args := []string{
		"--role=front", "--host-id=" + f.name, "--zone=zone-a", `--zones={"zone-a":"region-a"}`, "--store=" + f.store, "--listen=" + f.listen,
		"--ready-listen=" + f.ready, "--peer-listen=" + f.peer, "--seeds=" + strings.Join(f.seeds, ","), "--stop-grace=8s", "--lease=3000ms", "--fenced",
		"--keep-results=120s", "--memory-mb=284", "--cores=0.4",
	}
	if first {
		args = append(args, "--first-start")
	}
	f.starts++
	log, err := os.Create(filepath.Join(f.folder, fmt.Sprintf("%s.%d.log", f.name, f.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	f.command = exec.Command(os.Getenv("CELERYGAPD"), args...)
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "CELERYGAP_BOOT=" + settings}
	f.command.Stdout, f.command.Stderr = log, log
	f.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.command.Start(); err != nil {
		return err
	}
	done, command := make(chan struct{}), f.command
	f.done = done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (f *front) signal(s os.Signal) { _ = f.command.Process.Signal(s) }

func (f *front) kill() {
	f.signal(syscall.SIGKILL)
	<-f.done
}

// awaitReady waits until the process says that it is ready.
func (f *front) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + f.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", f.name, limit)
}
