package supervisor

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/sharer"
)

// sharePeriod is the interval at which the shares are computed from the live members and their demand.
const sharePeriod = time.Second

// shareLimits divides the limits of each entry between the live hosts by the demand in the shared snapshots.
func (h *Host) shareLimits(ctx context.Context) error {
	ticks, cancel := h.timer.Subscribe(sharePeriod)
	defer cancel()
	machine := sharer.New(sharer.Config{Self: h.config.Settings.HostID})
	var last *codec.Snapshot
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			commands := machine.Handle(now, sharer.MembersChanged{Live: h.liveHosts()})
			if shown := h.parts.presenter.View(now).Shown; shown != nil && shown != last {
				last = shown
				commands = machine.Handle(now, sharer.DemandReported{At: shown.BuiltAt, Hosts: shown.Hosts})
			}
			h.applyShares(commands)
		}
	}
}

func (h *Host) liveHosts() []identifier.HostID {
	live := h.parts.prober.Live()
	ids := make([]identifier.HostID, 0, len(live))
	for _, member := range live {
		ids = append(ids, member.ID)
	}
	return ids
}

// applyShares sets the share of every entry in effect.
func (h *Host) applyShares(commands []sharer.Command) {
	var defaultShare float64
	shares := make(map[identifier.EntryName]float64)
	for _, command := range commands {
		switch c := command.(type) {
		case sharer.SetDefault:
			defaultShare = c.Share
		case sharer.SetShare:
			shares[c.Entry] = c.Share
		}
	}
	for _, entry := range h.parts.disseminator.Current().Entries {
		share, ok := shares[entry.Name]
		if !ok {
			share = defaultShare
		}
		h.parts.dispatcher.SetShare(entry.Name, share)
	}
}
