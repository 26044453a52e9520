package connector

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Catalogue gives access to the configuration in effect on this host.
type Catalogue interface {
	// Current returns the catalogue in effect; it is never nil and must not be changed.
	Current() *codec.Catalogue
	// Subscribe returns a channel that receives each newer catalogue; a slow reader gets only the newest.
	Subscribe() <-chan *codec.Catalogue
}

// Members gives access to the live members as this host sees them; the view may be outdated.
type Members interface {
	// Self returns this host's own entry.
	Self() codec.Member
	// Live returns the live members, including this host, in order of id.
	Live() []codec.Member
}

// Handler serves one JSON-RPC method for other hosts.
type Handler func(ctx context.Context, params json.RawMessage) (result any, err error)

// Peers calls and serves other celerygap hosts.
type Peers interface {
	// Call calls a method on another host; calling this host itself runs the handler directly.
	Call(ctx context.Context, to codec.Member, method string, params, result any) error
	// Handle registers the handler of a method; it must be called before the peer listener starts.
	Handle(method string, handler Handler)
}

// StreamHandler serves one stream of bytes of another host.
type StreamHandler func(ctx context.Context, stream net.Conn)

// PeerStreams opens and serves streams of bytes between celerygap hosts, each on a connection of its own.
type PeerStreams interface {
	// DialStream opens a stream of a protocol to another host.
	DialStream(ctx context.Context, to codec.Member, protocol string) (net.Conn, error)
	// HandleStream registers the handler of a protocol; it must be called before the peer listener starts.
	HandleStream(protocol string, handler StreamHandler)
}

// Network opens connections to upstreams, through other hosts if it must.
type Network interface {
	// Dial opens a connection, as the method DialContext of net.Dialer does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// Relays reports whether connections to an address go through other hosts at present.
	Relays(address string) bool
}

// DialFunc opens a connection, as the method DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Upstream is one engine or one instance of a plain service.
type Upstream struct {
	ID      identifier.UpstreamID
	Address string
	Zone    identifier.Zone
	Region  identifier.Region
	// Software is the version of the upstream's software; upstreams that state none count as having the same one.
	Software identifier.SoftwareVersion
	// StartedAt is the start of the process that the list describes; zero if it is not known.
	StartedAt time.Time
	Leaving   bool
}

// Upstreams gives access to the upstreams of a pool, from the platform's list corrected by local evidence.
type Upstreams interface {
	// Pool returns the known upstreams of a pool, including those that are leaving.
	Pool(name identifier.PoolName) []Upstream
	// Report adds local evidence, which overrides the list until a newer list arrives.
	Report(id identifier.UpstreamID, evidence Evidence)
}
