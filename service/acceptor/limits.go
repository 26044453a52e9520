package acceptor

import (
	"math"
	"syscall"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/service/reserver"
)

// The defaults of Limits.
const (
	DefaultHeadBytes = 64 * identifier.Bytes(1<<10)
	DefaultHeadTime  = 10 * time.Second
	DefaultIdleTime  = 5 * time.Minute
)

// DefaultConnections is the number of connections of a listener whose share is not set.
const DefaultConnections = 1024

const (
	// separators is what the separators of a head may take beyond the limit for its names and values.
	separators = identifier.Bytes(4 << 10)
	// transit is how much longer than its client needs to send it a head may take to arrive.
	transit = time.Second
	// minRate is the rate in bytes a second at which a body must come after IdleTime, on average.
	minRate = 16 << 10
)

// Limits bounds what one client may send and how long it may take; zero values mean the defaults.
type Limits struct {
	// HeadBytes is the size of the names and values of the longest head, HeadTime the time in which its client sends it.
	HeadBytes identifier.Bytes
	HeadTime  time.Duration
	// IdleTime is how long a connection may stay idle, and how long a client may not read an answer or send nothing of a body.
	IdleTime time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = DefaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = DefaultIdleTime
	}
	return l
}

// Shares divides the connections that a process can hold among its listeners; what is left is for its own connections.
type Shares struct {
	Callers, Readiness, Peers, Metrics int
}

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// defaultDescriptors is assumed where the system does not tell its limit.
	defaultDescriptors = 1024
	// minConnections is the least share of a listener, maxChecks the largest one of the listeners for checks and metrics.
	minConnections = 4
	maxChecks      = 64
	// connectionCost is the memory that a connection takes while a small request is served.
	connectionCost = identifier.Bytes(40 << 10)
	// connectionShare is the percentage of the memory that connections of callers may take, headShare that of incomplete and of
	// large heads. Without a known memory, heads may take defaultHeadMemory.
	connectionShare   = 20
	headShare         = 10
	defaultHeadMemory = 64 * identifier.Bytes(1<<20)
)

// NewHeadAccount returns the account of incomplete and of large heads of a process that may use the given memory; zero means that it
// is not known.
func NewHeadAccount(memory identifier.Bytes) *reserver.Account {
	if memory <= 0 {
		return reserver.New(reserver.Config{Limit: defaultHeadMemory})
	}
	return reserver.New(reserver.Config{Limit: memory * headShare / 100})
}

// Divide returns the shares for a process that may open the given number of descriptors and use the given memory; zero memory means
// that it is not known. Callers get five sixteenths, since each request needs a connection to an upstream as well, and other hosts a
// fifth, since the connection of a tunnel needs another one.
func Divide(descriptors int, memory identifier.Bytes) Shares {
	usable := max(descriptors-fileDescriptors, descriptors/2)
	checks := min(max(usable/32, minConnections), maxChecks)
	shares := Shares{Callers: max(usable*5/16, minConnections), Readiness: checks, Peers: max(usable/5, minConnections), Metrics: checks}
	if memory > 0 {
		affordable := int(memory * connectionShare / 100 / connectionCost)
		shares.Callers = max(min(shares.Callers, affordable), minConnections)
		shares.Peers = max(min(shares.Peers, affordable), minConnections)
	}
	return shares
}

// MaxDescriptors returns the number of descriptors that the system lets this process open.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
