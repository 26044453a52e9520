package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLost of memoryHosts are lost.
	memoryHosts = 14
	memoryLost  = 8
	memoryItems = 64000
	// memoryLimit is limits.memory_mb of the settings, in bytes.
	memoryLimit = 284 << 20
)

var (
	// memoryModels are those of the batch jobs, half of which need each.
	memoryModels = []string{"m", "n"}
	// memoryHomes are the hosts that adopt the jobs of these models; of those that stay, only they hold jobs of their own.
	memoryHomes = []int{10, 11}
)

// resident returns the resident memory of a process in bytes, without pages of files, such as those of the program.
func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			size, _ := strconv.ParseInt(fields[1], 10, 64)
			return size << 10
		}
	}
	return 0
}

// memoryGuard is the part of the platform that kills processes beyond their memory and starts them again.
type memoryGuard struct {
	stage *stage
	fleet *fleet

	mu sync.Mutex
	// busy holds the hosts that are being stopped, killed or started.
	busy  map[string]bool
	kills map[string]int
	peak  map[string]int64
}

func (g *memoryGuard) hold(h *host, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy[h.name] = busy
}

func (g *memoryGuard) isHeld(h *host) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.busy[h.name]
}

func (g *memoryGuard) watch(h *host) {
	for {
		time.Sleep(100 * time.Millisecond)
		if g.isHeld(h) {
			continue
		}
		used := resident(h.command.Process.Pid)
		g.mu.Lock()
		g.peak[h.name] = max(g.peak[h.name], used)
		g.mu.Unlock()
		if used <= memoryLimit {
			continue
		}
		g.hold(h, true)
		g.mu.Lock()
		g.kills[h.name]++
		g.mu.Unlock()
		g.stage.record.line("%s uses %d MiB of 284 and is killed", h.name, used>>20)
		h.kill()
		time.Sleep(500 * time.Millisecond)
		g.fleet.start(h)
		g.hold(h, false)
	}
}

// playMemory lets hosts accept one batch job each; then most of these hosts are lost, and others adopt their jobs.
func playMemory(s *stage) {
	st := newStore()
	route := rolloutRoute()
	route["due_ms"], route["max_age_s"] = 300000, 600
	text := configuration(7, route, plainRoute())
	text["services"].([]map[string]any)[0]["engine"].(map[string]any)["models"] = []map[string]any{{"name": memoryModels[0]}, {"name": memoryModels[1]}}
	st.set("config", "main", text)
	for i := range 9 {
		newEngine(st, fmt.Sprint("i-", i+1), "models", "v1", memoryModels...).interval = time.Second
	}
	newEngine(st, "a-1", "app", "v1")
	f := s.fleet(st, memoryHosts, nil)
	f.startAll()
	time.Sleep(contact)
	guard := &memoryGuard{stage: s, fleet: f, busy: make(map[string]bool), kills: make(map[string]int), peak: make(map[string]int64)}
	for _, h := range f.hosts {
		go guard.watch(h)
	}
	for i, h := range f.hosts {
		if i >= memoryLost && !slices.Contains(memoryHomes, i) {
			continue
		}
		body := strings.ReplaceAll(submission(fmt.Sprint("job", i), 1, 1, memoryItems, 16, 0), `"m"`, `"`+memoryModels[i%2]+`"`)
		for try := range 3 {
			a := call(h, "POST", fmt.Sprintf("/b/job%d", i), fmt.Sprintf("job%d", i), 12*time.Second, map[string]string{"Content-Type": "application/json"}, body)
			s.record.line("job %d of %d items and %d bytes at %s: status %d %v", i, memoryItems, len(body), h.name, a.Status, a.Err)
			if a.Status == 202 {
				break
			}
			if try == 2 {
				cannotRun("job %d was not accepted", i)
			}
			time.Sleep(retryAfter(a.Header))
		}
	}
	time.Sleep(3 * time.Second)
	for _, h := range f.hosts[:memoryLost] {
		if s.trouble {
			guard.hold(h, true)
			s.record.line("%s is lost", h.name)
			h.kill()
		}
	}
	time.Sleep(35 * time.Second)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	total, often := 0, 0
	for _, h := range f.hosts {
		total += guard.kills[h.name]
		if guard.kills[h.name] >= 3 {
			often++
		}
		s.record.line("%s: at most %d MiB, killed %d times", h.name, guard.peak[h.name]>>20, guard.kills[h.name])
	}
	s.verdict(often >= max(2, memoryHosts/10), "%d processes needed more than 284 MiB and were killed, three times and more on %d of %d machines", total, often, memoryHosts)
}
