package demonstrator

import (
	"context"
	"fmt"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/configurer"
	"celerygap.example/service/supervisor"
	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/provider"
	"celerygap.example/standin/responder"
	"celerygap.example/standin/scorer"
)

// anyPort lets the system choose a free port, so that no port is already in use.
const anyPort = "127.0.0.1:0"

// locations are the availability zones, with their regions, among which hosts and engines are distributed.
var locations = []struct {
	zone   identifier.Zone
	region identifier.Region
}{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}

type runner interface {
	Address() string
	Run(context.Context) error
}

func (d *demonstration) build() error {
	platform, err := provider.New(provider.Config{Address: anyPort, HostLag: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	d.platform = platform
	d.duties = append(d.duties, grouper.Duty{Name: "platform", Run: platform.Run})
	if err := d.buildUpstreams(); err != nil {
		return err
	}
	for i := range d.config.Hosts {
		if err := d.buildHost(i); err != nil {
			return err
		}
	}
	return nil
}

func (d *demonstration) buildUpstreams() error {
	for i := range d.config.Engines {
		id := identifier.UpstreamID(fmt.Sprintf("engine-%d", i+1))
		engine, err := inferrer.New(inferrer.Config{
			ID: id, Address: anyPort, Models: []inferrer.Model{{Name: modelName, Version: 1}}, ChecksFencing: true,
			WeightStore: "http://" + d.platform.Address(), ReportLag: 200 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		d.addUpstream(id, "engines", i, engine)
	}
	var err error
	if d.orders, err = responder.New(responder.Config{ID: "orders-1", Address: anyPort}); err != nil {
		return err
	}
	d.addUpstream("orders-1", "orders", 0, d.orders)
	scores, err := scorer.New(scorer.Config{Address: anyPort})
	if err != nil {
		return err
	}
	d.addUpstream("scorer-1", "scorers", 0, scores)
	return nil
}

func (d *demonstration) addUpstream(id identifier.UpstreamID, pool identifier.PoolName, index int, upstream runner) {
	location := locations[index%len(locations)]
	d.platform.AddHost(codec.ListedHost{
		ID: id, Address: upstream.Address(), Zone: location.zone, Region: location.region, Pool: pool, State: codec.HostStateLive,
	})
	d.duties = append(d.duties, grouper.Duty{Name: string(id), Run: upstream.Run})
}

func (d *demonstration) buildHost(i int) error {
	location := locations[i%len(locations)]
	settings := configurer.Config{
		HostID: identifier.HostID(fmt.Sprintf("host-%d", i+1)), Zone: location.zone, Region: location.region, Listen: anyPort, PeerListen: anyPort,
		StoreURL: "http://" + d.platform.Address(), BodyLimit: configurer.DefaultBodyLimit, DrainTimeout: startTimeout,
		OrderShards: 4, SubsetSize: 64, GenerationLimit: 64, ScreenBuildPeriod: 500 * time.Millisecond,
	}
	if i > 0 {
		settings.Seeds = []string{d.hosts[0].PeerAddress()}
	}
	host, err := supervisor.New(supervisor.Config{Settings: settings, Log: logger.Discard()})
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, host)
	d.duties = append(d.duties, grouper.Duty{Name: string(settings.HostID), Run: host.Supervise})
	return nil
}
