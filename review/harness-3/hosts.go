package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// bounds are those of the small deployments' pages.
var bounds = map[string]string{
	"contact_ms": "4000", "ack_ms": "5000", "drain_ms": "2500", "grace_s": "8", "config_apply_ms": "2500", "settle_ms": "1000",
	"cancel_ms": "3000", "status_s": "120", "lease_ms": "3000", "thaw_ms": "300", "require_fence": "true", "recover_s": "12",
}

const contact = 4 * time.Second

// host is one process of the system.
type host struct {
	name                        string
	front, ready, peer, metrics string
	link                        *storeLink
	settings                    string
	fields                      map[string]string
	lists                       map[string]map[string]string
	command                     *exec.Cmd
	done                        chan struct{}
	startedAt                   time.Time
	log                         *os.File
}

// fleet is all processes of the system with their deploy file.
type fleet struct {
	root, folder string
	run          string
	hosts        []*host
}

// nextPort is below the range of outgoing connections, so that no connection takes a port while a process restarts.
var nextPort = 12000 + os.Getpid()*101%18000

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	for {
		nextPort++
		if listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, nextPort)); err == nil {
			_ = listener.Close()
			return nextPort
		}
	}
}

// newFleet prepares hosts; start starts them.
func newFleet(root string, s *store, count int, changed map[string]string) *fleet {
	folder, err := os.MkdirTemp("", "review3")
	must(err)
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	must(err)
	_, front, _ := strings.Cut(string(text), "[roles.front]")
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(front)
	f := &fleet{root: root, folder: folder, run: match[1]}
	var seeds []string
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
		h := &host{name: fmt.Sprintf("front-a-%d", i+1), front: address(), ready: address(), peer: address(), link: s.link()}
		if len(seeds) < 3 {
			seeds = append(seeds, h.peer)
		}
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		h.fields = map[string]string{
			"node_name": h.name, "zone": "zone-a", "ip": fmt.Sprintf("127.0.0.%d", i+1), "listen.front": h.front, "listen.ready": h.ready,
			"listen.control": h.peer, "platform.address": h.link.address, "seeds": strings.Join(seeds, ","), "limits.memory_mb": "284",
			"limits.max_fds": "4100", "limits.cpu_share": "0.4", "bootstrap": "true", "region": "region-a", "role": "front", "zones.zone-a": "region-a",
		}
		for name, value := range bounds {
			h.fields["bounds."+name] = value
		}
		for name, value := range changed {
			h.fields[name] = value
		}
		h.lists = map[string]map[string]string{"zones": {"zone-a": "region-a"}}
		h.settings = filepath.Join(folder, h.name+".conf")
		h.log, err = os.Create(filepath.Join(folder, h.name+".log"))
		must(err)
		h.writeSettings()
	}
	return f
}

func (h *host) writeSettings() {
	var text strings.Builder
	for name, value := range h.fields {
		fmt.Fprintf(&text, "%s=%s\n", name, value)
	}
	must(os.WriteFile(h.settings, []byte(text.String()), 0o600))
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// arguments fills in the deploy file's command.
func (f *fleet) arguments(h *host) []string {
	text := sectionPattern.ReplaceAllStringFunc(f.run, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if value := h.fields[parts[1]]; value == "" || value == "false" {
			return ""
		}
		return parts[2]
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		if parts[2] == "" {
			return h.fields[parts[1]]
		}
		var entries []string
		for name, value := range h.lists[parts[1]] {
			entries = append(entries, fmt.Sprintf("%q:%q", name, value))
		}
		return "{" + strings.Join(entries, ",") + "}"
	})
	var arguments []string
	for _, word := range strings.Split(text, " ") {
		if strings.HasPrefix(word, "--metrics-listen=") {
			word = fmt.Sprintf("--metrics-listen=%s:%d", h.fields["ip"], freePort(h.fields["ip"]))
		}
		if word != "" {
			arguments = append(arguments, word)
		}
	}
	return arguments
}

// start starts the process of a host.
func (f *fleet) start(h *host) {
	arguments := f.arguments(h)
	h.command = exec.Command(filepath.Join(f.root, arguments[0]), arguments[1:]...)
	h.command.Dir = f.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "CELERYGAP_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		cannotRun("start %s: %v", h.name, err)
	}
	h.startedAt = time.Now()
	done, command := make(chan struct{}), h.command
	h.done = done
	go func() {
		_ = command.Wait()
		close(done)
	}()
}

func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
	for _, h := range f.hosts {
		f.awaitReady(h, 15*time.Second)
	}
	// Only the first start of the whole system is one with bootstrap.
	for _, h := range f.hosts {
		h.fields["bootstrap"] = "false"
		h.writeSettings()
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(h *host, limit time.Duration) {
	for end := time.Now().Add(limit); !h.isReady(); {
		if time.Now().After(end) {
			cannotRun("%s is not ready after %s", h.name, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// kill ends the process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// stop ends all processes that are still running and removes the temporary folder.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.command != nil {
			h.signal(syscall.SIGCONT)
			h.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}
