package authorizer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"strings"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// MaxKeyBytes is the length above which a key is unknown, whatever the configuration says.
	MaxKeyBytes = 512
	// DefaultSureWithin is the age of a confirmation up to which the configuration counts as current. Hosts confirm it twice a
	// second, and a confirmation takes up to about 1.5 seconds to reach the last host of a fleet.
	DefaultSureWithin = 2 * time.Second
)

// Secret is the key of the hash by which API keys are looked up; it is random in each process, so that callers cannot choose keys
// that collide.
type Secret [32]byte

// Config configures an Authorizer.
type Config struct {
	Secret Secret
	// SureWithin is the age of a confirmation up to which an unknown key is refused for good; zero means DefaultSureWithin.
	SureWithin time.Duration
	// Strict refuses requests with a key once the configuration was not confirmed as current for RevokeWithin; zero means
	// DefaultSureWithin.
	Strict       bool
	RevokeWithin time.Duration
}

// Outcome is the result of a decision.
type Outcome string

// The outcomes of a decision.
const (
	// Open means that the configuration requires no keys, so nothing was decided.
	Open Outcome = "open"
	// Identified means that the request belongs to a customer.
	Identified Outcome = "identified"
	// Anonymous means that the route needs no key and the request has none that is known.
	Anonymous Outcome = "anonymous"
	// Missing, Malformed and Unknown refuse the request for good: it has no key, more than one, or one of no customer.
	Missing   Outcome = "missing"
	Malformed Outcome = "malformed"
	Unknown   Outcome = "unknown"
	// Unsure means that the key is unknown, and that a newer configuration may know it.
	Unsure Outcome = "unsure"
	// Unconfirmed means that the configuration is too old to accept any key.
	Unconfirmed Outcome = "unconfirmed"
)

// Request is what a decision takes into account.
type Request struct {
	// Public is set if the route needs no key.
	Public bool
	// Keys holds the values of the header that carries the key.
	Keys []string
	// ConfirmedAgo is the time since the configuration was last confirmed as current.
	ConfirmedAgo time.Duration
}

// Decision is the result for one request.
type Decision struct {
	Outcome Outcome
	// Customer and Priority are those of the customer to which the request belongs; Priority is nil if it has none.
	Customer identifier.CustomerName
	Priority *int
}

// Admitted reports whether the request may run.
func (d Decision) Admitted() bool {
	return d.Outcome == Open || d.Outcome == Identified || d.Outcome == Anonymous
}

// Authorizer knows the keys of one catalogue. It is immutable and safe for concurrent use.
type Authorizer struct {
	config     Config
	revision   identifier.Revision
	required   bool
	priorities bool
	keys       map[uint64][]holder
}

// holder is a customer's key, of which only the digest is kept.
type holder struct {
	digest   [sha256.Size]byte
	customer identifier.CustomerName
	priority *int
}

// New returns an Authorizer for the customers of a catalogue.
func New(catalogue *codec.Catalogue, config Config) *Authorizer {
	if config.SureWithin <= 0 {
		config.SureWithin = DefaultSureWithin
	}
	if config.RevokeWithin <= 0 {
		config.RevokeWithin = DefaultSureWithin
	}
	a := &Authorizer{
		config: config, revision: catalogue.Revision, required: catalogue.KeysRequired, keys: make(map[uint64][]holder),
	}
	for _, customer := range catalogue.Customers {
		a.priorities = a.priorities || customer.Priority != nil
		for _, key := range customer.Keys {
			if key == "" || len(key) > MaxKeyBytes {
				continue
			}
			h := holder{digest: a.digest(string(key)), customer: customer.Name, priority: customer.Priority}
			a.keys[bucket(h.digest)] = append(a.keys[bucket(h.digest)], h)
		}
	}
	return a
}

// Revision returns the revision of the catalogue from which the Authorizer was built.
func (a *Authorizer) Revision() identifier.Revision { return a.revision }

// Required reports whether requests on routes that are not public need a key.
func (a *Authorizer) Required() bool { return a.required }

// Priorities reports whether a customer has a priority.
func (a *Authorizer) Priorities() bool { return a.priorities }

// Check decides on one request.
func (a *Authorizer) Check(request Request) Decision {
	if !a.required {
		return Decision{Outcome: Open}
	}
	refused, found := a.find(request)
	switch {
	case refused == Missing && request.Public:
		return Decision{Outcome: Anonymous}
	case refused == Missing:
		return Decision{Outcome: Missing}
	case a.config.Strict && request.ConfirmedAgo > a.config.RevokeWithin:
		return Decision{Outcome: Unconfirmed}
	case refused == "":
		return Decision{Outcome: Identified, Customer: found.customer, Priority: found.priority}
	case request.Public:
		return Decision{Outcome: Anonymous}
	default:
		return Decision{Outcome: refused}
	}
}

// find returns the holder of the request's key, or why there is none.
func (a *Authorizer) find(request Request) (refused Outcome, found holder) {
	if len(request.Keys) == 0 || len(request.Keys) == 1 && request.Keys[0] == "" {
		return Missing, holder{}
	}
	if len(request.Keys) > 1 {
		return Malformed, holder{}
	}
	key := request.Keys[0]
	if len(key) > MaxKeyBytes {
		return Unknown, holder{}
	}
	digest := a.digest(key)
	for _, candidate := range a.keys[bucket(digest)] {
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			return "", candidate
		}
	}
	switch {
	case strings.Contains(key, ","):
		return Malformed, holder{}
	case request.ConfirmedAgo > a.config.SureWithin:
		return Unsure, holder{}
	default:
		return Unknown, holder{}
	}
}

func (a *Authorizer) digest(key string) (digest [sha256.Size]byte) {
	mac := hmac.New(sha256.New, a.config.Secret[:])
	mac.Write([]byte(key))
	mac.Sum(digest[:0])
	return digest
}

// bucket returns the part of a digest by which it is looked up.
func bucket(digest [sha256.Size]byte) uint64 { return binary.LittleEndian.Uint64(digest[:]) }
