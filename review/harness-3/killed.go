package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*stage){
	"killed": playKilled,
	"rolled": playRolled,
}

// configuration returns that of the cases.
func configuration(version int64, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "models", "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 115634, "stride": 60, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-stream", "host": hostName, "path_prefix": "/s/", "kind": "streaming", "resumable": true, "sticky": true, "timeout_ms": 60000,
		"latency_goal_ms": 500, "priority": 1, "service": "models", "max_attempts": 3,
	}
}

const (
	killedStreams = 24
	// killedDeadline is the time that the clients allow.
	killedDeadline = 50 * time.Second
)

// playKilled kills all hosts at once while streams run, and lets the clients take up their streams at hosts in touch.
func playKilled(s *stage) {
	st := newStore()
	st.set("config", "main", configuration(7, streamRoute()))
	engines := []*engine{newEngine(st, "i-1", "models", "v1", "m"), newEngine(st, "i-2", "models", "v1", "m"), newEngine(st, "i-3", "models", "v1", "m")}
	for _, e := range engines {
		e.slots, e.events, e.interval = 64, 60, 300*time.Millisecond
	}
	f := s.fleet(st, 4, nil)
	f.startAll()
	time.Sleep(contact)
	clients := make([]*streamClient, killedStreams)
	ctx, cut := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range clients {
		clients[i] = &streamClient{path: fmt.Sprintf("/s/%d", i), events: 60}
		group.Go(func() {
			h := f.hosts[i%len(f.hosts)]
			id := fmt.Sprintf("first%02d", i)
			s.record.line("client %d sends %s to %s", i, id, h.name)
			a := clients[i].attempt(ctx, h, id, killedDeadline)
			s.record.line("client %d: %s broke off with status %d after %d events: %v", i, id, a.Status, clients[i].held(), a.Err)
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.record.line("SIGKILL for all %d hosts", len(f.hosts))
		for _, h := range f.hosts {
			h.kill()
		}
		group.Wait()
		time.Sleep(700 * time.Millisecond)
		for _, h := range f.hosts {
			f.start(h)
		}
		for _, h := range f.hosts {
			f.awaitReady(h, 12*time.Second)
		}
		s.record.line("all hosts are ready again")
	} else {
		s.record.line("the connections of all clients break")
		cut()
		group.Wait()
	}
	cut()
	time.Sleep(contact + 500*time.Millisecond)
	s.takeUp(f, clients)
}

// playRolled stops and starts all hosts in turn, each only once the one before is in touch again, while streams run on the last one.
func playRolled(s *stage) {
	st := newStore()
	st.set("config", "main", configuration(7, streamRoute()))
	for i := range 3 {
		e := newEngine(st, fmt.Sprint("i-", i+1), "models", "v1", "m")
		e.slots, e.events, e.interval = 64, 140, 300*time.Millisecond
	}
	f := s.fleet(st, 4, nil)
	f.startAll()
	time.Sleep(contact)
	last := f.hosts[len(f.hosts)-1]
	clients := make([]*streamClient, killedStreams)
	ctx, cut := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range clients {
		clients[i] = &streamClient{path: fmt.Sprintf("/s/%d", i), events: 140}
		group.Go(func() {
			id := fmt.Sprintf("first%02d", i)
			s.record.line("client %d sends %s to %s", i, id, last.name)
			a := clients[i].attempt(ctx, last, id, killedDeadline)
			s.record.line("client %d: %s broke off with status %d after %d events: %v", i, id, a.Status, clients[i].held(), a.Err)
		})
	}
	time.Sleep(2 * time.Second)
	for _, h := range f.hosts[:len(f.hosts)-1] {
		if s.trouble {
			s.record.line("SIGTERM for %s", h.name)
			h.signal(syscall.SIGTERM)
			<-h.done
			s.record.line("%s has ended", h.name)
			f.start(h)
			f.awaitReady(h, 12*time.Second)
			s.record.line("%s is ready again", h.name)
		}
		time.Sleep(contact + 200*time.Millisecond)
	}
	if s.trouble {
		s.record.line("SIGTERM for %s", last.name)
		last.signal(syscall.SIGTERM)
		<-last.done
		s.record.line("%s has ended", last.name)
	} else {
		s.record.line("the connections of all clients break")
	}
	cut()
	group.Wait()
	f.hosts = f.hosts[:len(f.hosts)-1]
	if s.trouble {
		defer f.start(last)
	}
	s.takeUp(f, clients)
}

// takeUp lets the clients take up their streams, each at up to three hosts in turn, and begins as many new streams beside them.
func (s *stage) takeUp(f *fleet, clients []*streamClient) {
	var group sync.WaitGroup
	var mu sync.Mutex
	taken, goesOn, begun, mixed := 0, 0, 0, 0
	for i, c := range clients {
		held := c.held()
		if held == 0 {
			s.record.line("client %d holds no event and takes nothing up", i)
			continue
		}
		taken++
		group.Go(func() {
			for try := range 3 {
				h := f.hosts[(i+1+try)%len(f.hosts)]
				id := fmt.Sprintf("again%02d.%d", i, try)
				ctx, end := context.WithTimeout(context.Background(), 4*time.Second)
				a := c.attempt(ctx, h, id, killedDeadline-20*time.Second)
				end()
				s.record.line("client %d takes up %s after event %d with %s at %s: status %d, %d events now, %.200s", i, c.first, held, id, h.name, a.Status, c.held(), a.Body)
				if c.held() > held {
					mu.Lock()
					goesOn++
					if len(c.softwares()) > 1 || c.gap {
						mixed++
					}
					mu.Unlock()
					return
				}
				time.Sleep(retryAfter(a.Header))
			}
		})
	}
	for i := range clients {
		group.Go(func() {
			c := &streamClient{path: fmt.Sprintf("/s/new%d", i), events: 60}
			h := f.hosts[i%len(f.hosts)]
			ctx, end := context.WithTimeout(context.Background(), 4*time.Second)
			a := c.attempt(ctx, h, fmt.Sprintf("new%02d", i), killedDeadline-20*time.Second)
			end()
			s.record.line("new stream %d at %s: status %d, %d events", i, h.name, a.Status, c.held())
			if c.held() > 0 {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if mixed > 0 {
		s.verdict(true, "%d streams hold events of two software versions, or lack one", mixed)
	}
	if taken < 12 {
		cannotRun("only %d streams were taken up", taken)
	}
	share, fresh := float64(goesOn)/float64(taken), float64(begun)/float64(len(clients))
	s.verdict(share < fresh/2, "%d of %d streams that were taken up go on, %d of %d new streams begin", goesOn, taken, begun, len(clients))
}
