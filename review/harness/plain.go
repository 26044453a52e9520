package harness

import "time"

// PlainEngine returns the configuration of an engine of a plain service.
func PlainEngine(id, service, zone string) EngineConfig {
	return EngineConfig{ID: id, Service: service, Zone: zone, Slots: 6, Queue: 24, Work: 25 * time.Millisecond}
}
