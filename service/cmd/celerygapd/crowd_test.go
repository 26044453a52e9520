package main_test

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

var flagCrowd = flag.Bool("crowd", false, "run the test with a crowd, which needs the machine for itself, instead of leaving it out")

const (
	// crowdMemoryMB is the memory that the heads of a crowd may take (64 MB, twice that before garbage is collected) and that of the
	// program.
	crowdMemoryMB    = 200
	crowdDescriptors = 1024
	crowdSize        = 300
	headFill         = 60 << 10
)

// startHost starts the program with a limit of its descriptors and returns it with its addresses for callers and for other hosts.
func startHost(t *testing.T) (command *exec.Cmd, callers, peers string) {
	folder := t.TempDir()
	program, addresses := filepath.Join(folder, "celerygapd"), filepath.Join(folder, "addresses")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", out)
	command = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, crowdDescriptors), program,
		"--host-id", "h", "--zone", "z", "--region", "r", "--store-url", "http://127.0.0.1:1", "--listen", "127.0.0.1:0",
		"--peer-listen", "127.0.0.1:0", "--address-file", addresses)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(addresses)
		lines := strings.Fields(string(text))
		if err != nil || len(lines) != 2 {
			return false
		}
		callers, peers = lines[0], lines[1]
		return true
	}, 10*time.Second, 10*time.Millisecond)
	return command, callers, peers
}

// Guards against the service's own program running out of memory or descriptors because many clients hold parts of heads, for which
// its limit was that of the library.
func TestCrowdAtTheServicesOwnProgram(t *testing.T) {
	if !*flagCrowd {
		t.Skip("runs apart from other load, with -crowd")
	}
	command, callers, peers := startHost(t)
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := 0; head.Len() < headFill; i++ {
		head.WriteString("x" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	end := time.Now().Add(3 * time.Second)
	crowd := grouper.NewGroup(-1)
	for i := range 2 * crowdSize {
		crowd.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", []string{callers, peers}[i%2], time.Second)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(end)
				_, _ = io.WriteString(conn, head.String())
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	memory, open := 0, 0
	for time.Now().Before(end) {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", command.Process.Pid))
		require.NoError(t, err)
		pages, err := strconv.Atoi(strings.Fields(string(text))[1])
		require.NoError(t, err)
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", command.Process.Pid))
		require.NoError(t, err)
		memory, open = max(memory, pages*os.Getpagesize()>>20), max(open, len(entries))
		time.Sleep(10 * time.Millisecond)
	}
	crowd.Wait()
	t.Logf("at most %d MB of %d and %d descriptors of %d", memory, crowdMemoryMB, open, crowdDescriptors-200)
	require.Less(t, memory, crowdMemoryMB)
	require.LessOrEqual(t, open, crowdDescriptors-200)
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + callers + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	}, 10*time.Second, 100*time.Millisecond, "no request is answered after the crowd has left")
}
