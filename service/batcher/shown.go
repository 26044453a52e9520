package batcher

import (
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
)

// pageSource is from where a page of results was taken, as it appears in logs and metrics.
type pageSource string

const (
	pageSourceOwner       pageSource = "owner"
	pageSourceRemoteOwner pageSource = "remote_owner"
	pageSourceHome        pageSource = "home"
	pageSourceStore       pageSource = "store"
)

// pageOrigin is the source of a page and the owner of its job according to the head that led there.
type pageOrigin struct {
	source  pageSource
	owner   identifier.HostID
	version int64
}

// notePage counts a page and logs it if it has no results although the job is not complete. It reports false for a page
// without a result at a position that this host has shown before.
func (d *Driver) notePage(id identifier.BatchID, after int, page codec.BatchPage, origin pageOrigin) bool {
	empty := len(page.Results) == 0 && after < page.Total
	if d.config.Meter != nil {
		d.config.Meter.PageServed(string(origin.source), empty)
	}
	d.mu.Lock()
	if len(d.shown) >= maxCachedHeads {
		clear(d.shown)
	}
	shown := d.shown[id]
	if len(page.Results) > 0 {
		d.shown[id] = max(shown, page.Next)
	}
	d.mu.Unlock()
	if !empty {
		return true
	}
	if after < shown {
		d.config.Log.Warn(logger.PageBehind).Str("request", string(id)).Int("after", after).Int("shown", shown).Str("source", string(origin.source)).
			Str("owner", string(origin.owner)).Int64("head_version", origin.version).Send()
		return false
	}
	d.config.Log.Info(logger.PageWithoutResults).Str("request", string(id)).Int("after", after).Str("source", string(origin.source)).
		Str("owner", string(origin.owner)).Int64("head_version", origin.version).Send()
	return true
}
