package presenter

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// BenchmarkSnapshot measures the size and the encoding time of a snapshot for docs/CAPACITY.md.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ hosts, upstreams int }{{8, 12}, {32, 64}, {128, 64}, {360, 64}} {
		b.Run(fmt.Sprintf("hosts=%d/upstreams=%d", size.hosts, size.upstreams), func(b *testing.B) {
			snapshot := codec.Snapshot{Epoch: 3, Sequence: 5, BuiltAt: time.Now(), ShowAt: time.Now(), Builder: "host-1"}
			for i := range size.hosts {
				snapshot.Hosts = append(snapshot.Hosts, statusOf(i, size.upstreams))
			}
			var encoded []byte
			for b.Loop() {
				var err error
				encoded, err = json.Marshal(snapshot)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(encoded)), "bytes/snapshot")
			b.ReportMetric(float64(len(encoded))/float64(size.hosts), "bytes/host")
		})
	}
}

func statusOf(host, upstreams int) codec.HostStatus {
	status := codec.HostStatus{
		Member:   codec.Member{ID: identifier.HostID(fmt.Sprintf("host-%d", host)), Address: "10.0.0.17:8090", Zone: "brasov-a", Region: "ro-centru", State: codec.MemberStateAlive, Incarnation: 1796354273175},
		Revision: 9200, Ready: true, Requests: 100000,
		Refusals: []codec.CountByReason{{Reason: "queue_full", Count: 12}, {Reason: "rate_limited", Count: 3}},
		Retries:  []codec.CountByReason{{Reason: "connection_lost", Count: 2}},
		Demand:   []codec.EntryDemand{{Entry: "plan-rounds", Requests: 50000}, {Entry: "dispatch-app", Requests: 50000}},
	}
	for i := range upstreams {
		status.Upstreams = append(status.Upstreams, codec.UpstreamStatus{
			ID: identifier.UpstreamID(fmt.Sprintf("engine-%d", i)), Pool: "model-farm", Zone: "brasov-a", State: "live", InFlight: 7,
		})
	}
	return status
}
