package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/operator/requester"
	"celerygap.example/standin/provider"
)

const (
	anyPort = "127.0.0.1:0"
	// crashStatus is the exit status of a stand-in that crashed because a request contained the crash marker.
	crashStatus = 70
	// hostLag is the delay after which the platform's host list shows a change.
	hostLag = time.Second
	// drainWait is how long a stopping host serves after it reports not ready; the tests' load balancer polls much
	// faster.
	drainWait = 1500 * time.Millisecond
	// stopLimit bounds a planned stop in the tests.
	stopLimit = 25 * time.Second
	modelName = "assistant"
	// leaveBound is the bound of P7 and catalogueBound that of P9 (docs/design.md section 1.1).
	leaveBound     = 5 * time.Second
	catalogueBound = 13 * time.Second
)

// clusterConfig has the numbers of processes of a cluster and the speeds of its stand-ins.
type clusterConfig struct {
	hosts         int
	engines       int
	tokenInterval time.Duration
	plainDelay    time.Duration
}

// cluster is a stand-in platform, upstreams and hosts of the service in separate processes.
type cluster struct {
	t        testing.TB
	folder   string
	http     *http.Client
	platform *process
	plain    *process
	scorer   *process
	engines  []*process
	hosts    []*process
	ledger   *ledger

	mu sync.Mutex
	// crashes counts the engines that ended with crashStatus.
	crashes    int
	violations []string
	closed     bool
	// onBroken, when set, is called for each connection to a host that broke, with the time at which the call began.
	onBroken func(host *process, since time.Time, result callResult)
}

// newCluster starts all processes, applies the catalogue and waits until every host serves; the end of the test kills
// the processes.
func newCluster(t testing.TB, config clusterConfig) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	folder, err := os.MkdirTemp(*flagLogs, "soak-"+strings.ReplaceAll(t.Name(), "/", "-")+"-")
	require.NoError(t, err)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 64
	c := &cluster{t: t, folder: folder, http: &http.Client{Transport: transport}}
	c.ledger = newLedger(c)
	t.Cleanup(c.close)
	c.startUpstreams(config)
	for i := range config.hosts {
		c.addHost(i)
	}
	c.apply("catalogue.yaml")
	c.awaitReady(startTimeout)
	c.warmUp(config.engines > 0)
	return c
}

func (c *cluster) close() {
	defer func() { <-clusterSlots }()
	c.mu.Lock()
	c.closed = true
	violations := c.violations
	c.mu.Unlock()
	for _, p := range c.processes() {
		p.kill()
	}
	c.http.CloseIdleConnections()
	for _, v := range violations {
		c.t.Error(v)
	}
	if c.t.Failed() {
		c.t.Logf("the logs of the processes are in %s", c.folder)
		return
	}
	_ = os.RemoveAll(c.folder)
}

func (c *cluster) processes() []*process {
	all := append(append([]*process{}, c.hosts...), c.engines...)
	for _, p := range []*process{c.plain, c.scorer, c.platform} {
		if p != nil {
			all = append(all, p)
		}
	}
	return all
}

// recordViolation records a broken promise; the test continues and fails at its end. At most 40 violations are kept.
func (c *cluster) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) < 40 {
		c.violations = append(c.violations, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (c *cluster) launch(name string, args func(previous []string) []string) *process {
	p := &process{name: name, folder: c.folder, args: args}
	require.NoError(c.t, p.start())
	return p
}

// listenAddress returns the former address with the given index, so that a restart keeps it, or else any free port.
func listenAddress(previous []string, i int) string {
	if len(previous) > i {
		return previous[i]
	}
	return anyPort
}

func (c *cluster) startUpstreams(config clusterConfig) {
	c.platform = c.launch("platform", func(previous []string) []string {
		return []string{"standin", "platform", "--address", listenAddress(previous, 0), "--host-lag", hostLag.String()}
	})
	upstream := func(name, kind, pool string, extra ...string) func([]string) []string {
		return func(previous []string) []string {
			args := []string{
				"standin", kind, "--address", listenAddress(previous, 0), "--id", name, "--platform", c.platform.url(),
				"--zone", "zone-a", "--region", "region-a", "--pool", pool,
			}
			return append(args, extra...)
		}
	}
	for i := range config.engines {
		name := fmt.Sprintf("engine-%d", i)
		engine := c.launch(name, upstream(name, "engine", "engines", "--model", modelName+":1", "--checks-fencing",
			"--record-file", c.recordFile(name), "--weight-store", c.platform.url(), "--token-interval", config.tokenInterval.String(), "--report-lag", "200ms"))
		engine.mu.Lock()
		engine.onExit = func(status int) { c.engineEnded(engine, status) }
		engine.mu.Unlock()
		c.engines = append(c.engines, engine)
	}
	c.plain = c.launch("orders", upstream("orders", "plain", "orders", "--delay", config.plainDelay.String()))
	c.scorer = c.launch("scorer", upstream("scorer", "scorer", "scorers"))
}

// recordFile returns the path of the file in which an engine records its runs and which survives a kill of the engine.
func (c *cluster) recordFile(engine string) string { return filepath.Join(c.folder, engine+".runs") }

// engineEnded restarts an engine that ended by itself and counts a crash that the crash marker caused; any other end is a
// violation.
func (c *cluster) engineEnded(engine *process, status int) {
	c.mu.Lock()
	if status == crashStatus {
		c.crashes++
	}
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	if status != crashStatus {
		c.recordViolation("%s ended with status %d", engine.name, status)
	}
	c.ledger.read(engine)
	time.Sleep(500 * time.Millisecond)
	c.mu.Lock()
	closed = c.closed
	c.mu.Unlock()
	if !closed {
		c.restart(engine)
	}
}

func (c *cluster) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

func (c *cluster) restart(p *process) {
	if err := p.start(); err != nil {
		c.recordViolation("restart of %s: %v", p.name, err)
	}
}

func (c *cluster) addHost(i int) *process {
	name := fmt.Sprintf("host-%d", i)
	host := c.launch(name, func(previous []string) []string {
		args := []string{
			"celerygapd", "--host-id", name, "--zone", []string{"zone-a", "zone-b"}[i%2], "--region", "region-a",
			"--listen", listenAddress(previous, 0), "--peer-listen", listenAddress(previous, 1), "--store-url", c.platform.url(),
			"--drain-wait", drainWait.String(), "--drain-timeout", "20s", "--log-format", "json", "--lock-duty-threads=false",
		}
		for _, other := range c.hosts {
			if other.name != name {
				args = append(args, "--seed", other.address(1))
			}
		}
		return args
	})
	host.mu.Lock()
	host.onExit = func(status int) {
		c.recordViolation("%s ended with status %d although the test did not stop it", name, status)
	}
	host.mu.Unlock()
	c.hosts = append(c.hosts, host)
	c.admin(http.MethodPost, c.platform, "hosts", codec.ListedHost{
		ID: identifier.UpstreamID(name), Address: host.address(1), Zone: identifier.Zone([]string{"zone-a", "zone-b"}[i%2]),
		Region: "region-a", Pool: "celerygap", State: codec.HostStateLive,
	})
	return host
}

// stop requests a planned stop of a host; one that takes too long or fails violates P8.
func (c *cluster) stop(p *process) {
	if err := p.end(syscall.SIGTERM, stopLimit); err != nil {
		c.recordViolation("P8: %v", err)
	} else if p.exit != 0 {
		c.recordViolation("P8: the planned stop of %s ended with status %d", p.name, p.exit)
	}
}

// admin calls the test interface of a stand-in and only logs a failure, since the stand-in may have been killed.
func (c *cluster) admin(method string, p *process, path string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		c.recordViolation("encode %s: %v", path, err)
		return
	}
	if _, err := c.call(method, p.url()+"/admin/"+path, encoded); err != nil {
		c.t.Logf("%s %s of %s: %v", method, path, p.name, err)
	}
}

func (c *cluster) call(method, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return content, err
}

func (c *cluster) setFaults(f provider.Faults) {
	c.admin(http.MethodPut, c.platform, "faults", f)
	c.ledger.setOutage(f.Down)
}

// apply edits the catalogue with celerygapctl, as an operator does.
func (c *cluster) apply(file string) {
	path, err := filepath.Abs(file)
	require.NoError(c.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binFolder, "celerygapctl"), "--server", c.hosts[0].url(), "apply", "--author", "setup", path)
	out, err := cmd.CombinedOutput()
	require.NoError(c.t, err, "%s", out)
}

func (c *cluster) status(host *process) (requester.Status, error) {
	var status requester.Status
	content, err := c.call(http.MethodGet, host.url()+"/v1/operator/status", nil)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(content, &status)
}

func (c *cluster) ready(host *process) bool {
	_, err := c.call(http.MethodGet, host.url()+"/readyz", nil)
	return err == nil
}

// awaitReady waits until every running host is ready, has the catalogue and counts the other running hosts as members.
func (c *cluster) awaitReady(limit time.Duration) {
	c.t.Helper()
	running := 0
	for _, host := range c.hosts {
		if host.running() {
			running++
		}
	}
	for _, host := range c.hosts {
		if !host.running() {
			continue
		}
		require.Eventually(c.t, func() bool {
			status, err := c.status(host)
			return err == nil && status.Ready && status.Revision >= 1 && len(status.Members) >= running && c.ready(host)
		}, limit, 50*time.Millisecond, "%s is not ready", host.name)
	}
}

// checkInvariants records a violation for each failed invariant in the metrics of the running hosts.
func (c *cluster) checkInvariants() {
	for _, host := range c.hosts {
		if !host.running() {
			continue
		}
		content, err := c.call(http.MethodGet, host.url()+"/metrics", nil)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if !strings.HasPrefix(line, "celerygap_invariant_failures_total{") {
				continue
			}
			fields := strings.Fields(line)
			if value, err := strconv.ParseFloat(fields[len(fields)-1], 64); err != nil || value != 0 {
				c.recordViolation("invariant failed on %s: %s", host.name, strings.TrimSpace(line))
			}
		}
	}
}
