package main

import (
	"fmt"
	"sort"
	"time"
)

// step is the time between two versions that a trainer names.
const step = 2500 * time.Millisecond

func init() { cases["strangers"] = playStrangers }

// playStrangers adds a host while the three hosts that its settings name as seeds are down, and names versions of weights.
func playStrangers(s *stage) {
	st := newStore()
	st.set("config", "main", configuration(7, streamRoute()))
	var engines []*engine
	models := []string{"m"}
	for i := range 3 {
		e := newEngine(st, fmt.Sprint("i-", i+1), "models", "v1", models...)
		engines = append(engines, e)
	}
	for _, model := range models {
		st.set("versions", model, map[string]any{"model": model, "version": 1})
	}
	f := s.fleet(st, 6, nil)
	added := f.hosts[5]
	f.hosts = f.hosts[:5]
	f.startAll()
	f.hosts = append(f.hosts, added)
	time.Sleep(contact)
	if s.trouble {
		for _, h := range f.hosts[:3] {
			s.record.line("SIGKILL for %s, a seed", h.name)
			h.kill()
		}
	}
	time.Sleep(contact)
	added.fields["bootstrap"] = "false"
	added.writeSettings()
	f.start(added)
	f.awaitReady(added, 12*time.Second)
	s.record.line("%s is added at another address", added.name)
	time.Sleep(contact + 2*time.Second)
	s.record.line("all hosts that run are in touch")
	inTouch := time.Now()
	version := int64(1)
	for range 16 {
		version++
		for _, model := range models {
			s.record.line("version %d of %s is named", version, model)
			st.set("versions", model, map[string]any{"model": model, "version": version})
		}
		time.Sleep(step)
	}
	s.judgeOrders(engines, inTouch)
}

// judgeOrders looks for holders that take turns at one engine within the time of a lease.
func (s *stage) judgeOrders(engines []*engine, since time.Time) {
	const lease = 3 * time.Second
	turns, total := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		orders := append([]order(nil), e.orders...)
		e.mu.Unlock()
		sort.Slice(orders, func(i, j int) bool { return orders[i].At.Before(orders[j].At) })
		for i, last := range orders {
			s.record.line("at %7.3f %s got version %d of %s from %s with fence %d", last.At.Sub(s.record.began).Seconds(), e.id, last.Version, last.Model, last.Holder, last.Fence)
			if last.At.Before(since) {
				continue
			}
			total++
			for j := i - 1; j >= 0 && last.At.Sub(orders[j].At) < lease && orders[j].At.After(since); j-- {
				if orders[j].Holder == last.Holder {
					continue
				}
				for k := j - 1; k >= 0 && last.At.Sub(orders[k].At) < lease && orders[k].At.After(since); k-- {
					if orders[k].Holder == last.Holder {
						turns++
						s.record.line("%s: %s, %s, %s within %s", e.id, orders[k].Holder, orders[j].Holder, last.Holder, last.At.Sub(orders[k].At).Round(time.Millisecond))
						k, j = -1, -1
					}
				}
			}
		}
	}
	s.verdict(turns > 0, "%d orders in touch, %d times holders took turns at one engine within %s", total, turns, lease)
}
