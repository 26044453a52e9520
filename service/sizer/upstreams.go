package sizer

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// listRounds is the number of times that a list is decoded for one measurement.
const listRounds = 20

// ListCost is the cost of reading the platform's host list once.
type ListCost struct {
	Upstreams int
	Hosts     int
	// Bytes is the size of the list in JSON.
	Bytes int
	// CPU is the CPU time of decoding the list once and converting it to upstreams.
	CPU time.Duration
	// Memory is the memory of the upstreams in bytes.
	Memory int64
}

// MeasureList returns the cost of a list with the given numbers of upstreams and celerygap hosts. It returns an error
// if the list cannot be decoded or not all upstreams are found in it.
func MeasureList(upstreams, hosts int) (ListCost, error) {
	data, err := json.Marshal(hostList(upstreams, hosts))
	if err != nil {
		return ListCost{}, annotator.Wrap("encode host list", "self", err)
	}
	cost := ListCost{Upstreams: upstreams, Hosts: hosts, Bytes: len(data)}
	before := memory()
	var decoded []connector.Upstream
	start := cpuTime()
	for range listRounds {
		if decoded, err = decodeList(data); err != nil {
			return cost, err
		}
	}
	cost.CPU = (cpuTime() - start) / listRounds
	cost.Memory = memory() - before
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(data)
	if len(decoded) != upstreams {
		return cost, fmt.Errorf("decoded %d of %d upstreams", len(decoded), upstreams)
	}
	return cost, nil
}

func decodeList(data []byte) ([]connector.Upstream, error) {
	var list codec.HostList
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, annotator.Wrap("decode host list", "self", err)
	}
	var decoded []connector.Upstream
	for _, h := range list.Hosts {
		if h.Pool != hostPool {
			decoded = append(decoded, connector.Upstream{
				ID: h.ID, Address: h.Address, Zone: h.Zone, Region: h.Region, Leaving: h.State == codec.HostStateLeaving,
			})
		}
	}
	return decoded, nil
}

func hostList(upstreams, hosts int) codec.HostList {
	list := codec.HostList{Revision: 1}
	for i := range upstreams + hosts {
		pool := identifier.PoolName("model-farm")
		if i >= upstreams {
			pool = hostPool
		}
		list.Hosts = append(list.Hosts, codec.ListedHost{
			ID: identifier.UpstreamID(fmt.Sprintf("%s-%04d", pool, i)), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
			Zone: identifier.Zone(fmt.Sprintf("zone-%d", i%zones)), Region: identifier.Region(fmt.Sprintf("region-%d", i%regions)),
			Pool: pool, State: codec.HostStateLive,
		})
	}
	return list
}

// ReportLists writes a table with the costs of the lists.
func ReportLists(out io.Writer, costs []ListCost) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "upstreams\thosts\tlist, bytes\tdecoding, us\tmemory held, KiB\t")
	for _, c := range costs {
		fmt.Fprintf(table, "%d\t%d\t%d\t%.0f\t%.0f\t\n", c.Upstreams, c.Hosts, c.Bytes, micros(c.CPU), float64(c.Memory)/1024)
	}
	return table.Flush()
}
