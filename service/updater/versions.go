package updater

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/service/connector"
)

const (
	// MethodAnnounce is the JSON-RPC method that exchanges weight versions.
	MethodAnnounce = "announce_weights"
	// weightsPrefix is the prefix of the store keys of announced versions; the trainer's name follows.
	weightsPrefix = "weights/"
	// announceFanOut bounds the calls that an announcement makes at the same time.
	announceFanOut = 32
	// exchangeInterval is how often a host exchanges versions with the store and with one random peer, so that it learns
	// of announcements that it missed.
	exchangeInterval = 10 * time.Second
	// saveInterval is how often the write of an announcement to the store is retried.
	saveInterval = time.Second
	// announceRetry is the delay after which a trainer should repeat an announcement that reached neither the store nor
	// another host.
	announceRetry = time.Second
)

// versions holds the highest announced version of each trainer.
type versions struct {
	mu      sync.Mutex
	highest map[identifier.EntryName]identifier.WeightVersion
	// unsaved holds the trainers whose highest version this host still has to write to the store.
	unsaved map[identifier.EntryName]bool
	// changed holds one item after the highest version of a trainer has risen.
	changed chan struct{}
}

func newVersions() *versions {
	return &versions{
		highest: make(map[identifier.EntryName]identifier.WeightVersion),
		unsaved: make(map[identifier.EntryName]bool),
		changed: make(chan struct{}, 1),
	}
}

func (v *versions) current(trainer identifier.EntryName) identifier.WeightVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.highest[trainer]
}

// raise records a version if it is higher than the known one, and reports whether it was.
func (v *versions) raise(trainer identifier.EntryName, version identifier.WeightVersion) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.highest[trainer] {
		return false
	}
	v.highest[trainer] = version
	select {
	case v.changed <- struct{}{}:
	default:
	}
	return true
}

func (v *versions) setUnsaved(trainer identifier.EntryName, unsaved bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if unsaved {
		v.unsaved[trainer] = true
		return
	}
	delete(v.unsaved, trainer)
}

func (v *versions) unsavedTrainers() []identifier.EntryName {
	v.mu.Lock()
	defer v.mu.Unlock()
	trainers := make([]identifier.EntryName, 0, len(v.unsaved))
	for trainer := range v.unsaved {
		trainers = append(trainers, trainer)
	}
	return trainers
}

func (v *versions) table(from identifier.HostID) codec.WeightTable {
	v.mu.Lock()
	defer v.mu.Unlock()
	table := codec.WeightTable{From: from, Versions: []codec.TrainerVersion{}}
	for trainer, version := range v.highest {
		table.Versions = append(table.Versions, codec.TrainerVersion{Trainer: trainer, Version: version})
	}
	return table
}

func (v *versions) merge(table codec.WeightTable) {
	for _, announced := range table.Versions {
		v.raise(announced.Trainer, announced.Version)
	}
}

// Current returns the highest announced version of a trainer entry.
func (u *Updater) Current(trainer identifier.EntryName) identifier.WeightVersion {
	return u.versions.current(trainer)
}

// Announce sends a version to all hosts. It succeeds once the store or another host holds the version, so that the loss of
// this host cannot undo it; a host without live peers succeeds without the store. Its errors are of type *refuser.Refusal.
// Announcing the same version again is safe.
func (u *Updater) Announce(ctx context.Context, trainer identifier.EntryName, version identifier.WeightVersion) error {
	if !u.isTrainer(trainer) {
		return refuser.NotRun(refuser.UnknownEntry, 0, "the catalogue has no trainer entry %q", trainer)
	}
	if current := u.versions.current(trainer); version < current || version <= 0 {
		return refuser.NotRun(refuser.VersionReverted, 0, "version %d of %q is not positive or is below the announced version %d", version, trainer, current)
	}
	if u.versions.raise(trainer, version) {
		u.config.Log.Info(logger.WeightsAnnounced).Str("trainer", string(trainer)).Int64("version", int64(version)).Send()
	}
	u.versions.setUnsaved(trainer, true)
	reached, others := u.broadcast(ctx, codec.TrainerVersion{Trainer: trainer, Version: version})
	err := u.save(ctx, trainer)
	if err == nil || reached > 0 || others == 0 {
		return nil
	}
	return refuser.Unknown(refuser.StoreUnavailable, announceRetry,
		"version %d of %q is known to this host only: the store call failed (%v) and no other host responded", version, trainer, err)
}

func (u *Updater) isTrainer(trainer identifier.EntryName) bool {
	return slices.ContainsFunc(u.config.Catalogue.Current().Entries, func(entry codec.Entry) bool {
		return entry.Name == trainer && entry.Kind == codec.EntryKindTrainer
	})
}

// broadcast sends a version to all other live hosts and returns how many of them received it, and how many there are.
func (u *Updater) broadcast(ctx context.Context, announced codec.TrainerVersion) (reached, others int) {
	ctx, cancel := context.WithTimeout(ctx, u.config.CallTimeout)
	defer cancel()
	self := u.config.Members.Self().ID
	table := codec.WeightTable{From: self, Versions: []codec.TrainerVersion{announced}}
	calls := grouper.NewGroup(announceFanOut)
	var count atomic.Int64
	for _, member := range u.config.Members.Live() {
		if member.ID == self {
			continue
		}
		others++
		calls.Go(func() {
			if u.exchange(ctx, member, table) == nil {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load()), others
}

func (u *Updater) exchange(ctx context.Context, member codec.Member, table codec.WeightTable) error {
	var reply codec.WeightTable
	if err := u.config.Peers.Call(ctx, member, MethodAnnounce, table, &reply); err != nil {
		return err
	}
	u.versions.merge(reply)
	return nil
}

func (u *Updater) serveAnnounce(_ context.Context, params json.RawMessage) (any, error) {
	var table codec.WeightTable
	if err := json.Unmarshal(params, &table); err != nil {
		return nil, err
	}
	u.versions.merge(table)
	return u.versions.table(u.config.Members.Self().ID), nil
}

// save writes the highest version of a trainer to the store, unless the store holds it or a higher one.
func (u *Updater) save(ctx context.Context, trainer identifier.EntryName) error {
	ctx, cancel := context.WithTimeout(ctx, u.config.CallTimeout)
	defer cancel()
	key := weightsPrefix + string(trainer)
	for {
		object, err := u.config.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, connector.ErrNotFound) {
			return err
		}
		stored, err := decodeVersion(object)
		if err != nil {
			return err
		}
		u.versions.raise(trainer, stored)
		known := u.versions.current(trainer)
		if stored >= known {
			u.versions.setUnsaved(trainer, false)
			return nil
		}
		value, err := json.Marshal(codec.WeightAnnouncement{Version: known})
		if err != nil {
			return err
		}
		_, err = u.config.Store.Put(ctx, key, object.Version, value)
		_, conflict := connector.AsConflict(err)
		if err != nil && !conflict && !errors.Is(err, connector.ErrOutcomeUnknown) {
			return err
		}
		// The object is read again in any case: another host may have written it, or the outcome of the write is unknown.
	}
}

func decodeVersion(object codec.Object) (identifier.WeightVersion, error) {
	if object.Version == 0 {
		return 0, nil
	}
	var announcement codec.WeightAnnouncement
	err := json.Unmarshal(object.Value, &announcement)
	return announcement.Version, err
}

// runVersions saves announced versions to the store and learns versions from the store and from peers.
func (u *Updater) runVersions(ctx context.Context) error {
	saves, cancelSaves := u.config.Timer.Subscribe(saveInterval)
	defer cancelSaves()
	exchanges, cancelExchanges := u.config.Timer.Subscribe(exchangeInterval)
	defer cancelExchanges()
	u.synchronize(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-saves:
			for _, trainer := range u.versions.unsavedTrainers() {
				_ = u.save(ctx, trainer)
			}
		case <-exchanges:
			u.synchronize(ctx)
		}
	}
}

// synchronize learns versions from the store and from one random peer. One host, chosen by hash, writes a version that the
// store lacks, since the host that accepted its announcement may be gone.
func (u *Updater) synchronize(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, u.config.CallTimeout)
	defer cancel()
	if member, ok := u.randomPeer(); ok {
		_ = u.exchange(ctx, member, u.versions.table(u.config.Members.Self().ID))
	}
	list, err := u.config.Store.List(ctx, weightsPrefix)
	if err != nil {
		return
	}
	stored := make(map[identifier.EntryName]identifier.WeightVersion)
	for _, object := range list.Objects {
		trainer := identifier.EntryName(strings.TrimPrefix(object.Key, weightsPrefix))
		version, err := decodeVersion(object)
		if err != nil {
			continue
		}
		stored[trainer] = version
		u.versions.raise(trainer, version)
	}
	owns := u.ownership()
	for _, known := range u.versions.table("").Versions {
		if known.Version > stored[known.Trainer] && owns(weightsPrefix+string(known.Trainer)) {
			u.versions.setUnsaved(known.Trainer, true)
		}
	}
}
