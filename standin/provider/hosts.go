package provider

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// hostFields is the number of fields in the text form of a host.
const hostFields = 5

// ParseHost reads the text form of a live host: id,address,zone,region,pool.
func ParseHost(text string) (codec.ListedHost, error) {
	fields := strings.Split(text, ",")
	if len(fields) != hostFields {
		return codec.ListedHost{}, fmt.Errorf("parse host %q: want id,address,zone,region,pool", text)
	}
	return codec.ListedHost{
		ID:      identifier.UpstreamID(fields[0]),
		Address: fields[1],
		Zone:    identifier.Zone(fields[2]),
		Region:  identifier.Region(fields[3]),
		Pool:    identifier.PoolName(fields[4]),
		State:   codec.HostStateLive,
	}, nil
}

// AddHost adds a host to the list or replaces its entry; the change becomes visible after Config.HostLag.
func (p *Platform) AddHost(host codec.ListedHost) {
	if host.State == "" {
		host.State = codec.HostStateLive
	}
	p.changeHosts(time.Now(), func(hosts []codec.ListedHost) []codec.ListedHost {
		return append(without(hosts, host.ID), host)
	})
}

// RemoveHost removes a host from the list; the change becomes visible after Config.HostLag.
func (p *Platform) RemoveHost(id identifier.UpstreamID) {
	p.changeHosts(time.Now(), func(hosts []codec.ListedHost) []codec.ListedHost { return without(hosts, id) })
}

// MarkLeaving sets the state of a host to leaving; the change becomes visible after Config.HostLag.
func (p *Platform) MarkLeaving(id identifier.UpstreamID) {
	p.changeHosts(time.Now(), func(hosts []codec.ListedHost) []codec.ListedHost {
		next := append([]codec.ListedHost{}, hosts...)
		for i := range next {
			if next[i].ID == id {
				next[i].State = codec.HostStateLeaving
			}
		}
		return next
	})
}

func without(hosts []codec.ListedHost, id identifier.UpstreamID) []codec.ListedHost {
	next := make([]codec.ListedHost, 0, len(hosts)+1)
	for _, host := range hosts {
		if host.ID != id {
			next = append(next, host)
		}
	}
	return next
}

// changeHosts makes a changed list, which becomes visible HostLag after now; the zero time makes it visible immediately.
func (p *Platform) changeHosts(now time.Time, change func([]codec.ListedHost) []codec.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = change(p.hosts)
	if p.hosts == nil {
		p.hosts = []codec.ListedHost{}
	}
	p.revision++
	list := codec.HostList{Revision: p.revision, Hosts: p.hosts}
	p.history = append(p.history, timedHostList{visible: now.Add(p.config.HostLag), list: list})
}

// visibleHosts returns the newest visible list and discards the older ones.
func (p *Platform) visibleHosts(now time.Time) codec.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.history) > 1 && !now.Before(p.history[1].visible) {
		p.history = p.history[1:]
	}
	return p.history[0].list
}

func (p *Platform) listHosts(c echo.Context) error {
	list := p.visibleHosts(time.Now())
	tag := fmt.Sprintf("%q", fmt.Sprint(list.Revision))
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, list)
}
