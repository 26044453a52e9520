package acceptor

import (
	"container/list"
	"iter"
)

// state is what a connection is doing.
type state string

const (
	silent    state = "silent"
	partial   state = "partial"
	idle      state = "idle"
	receiving state = "receiving"
	running   state = "running"
)

// yielding holds the states in which a connection may be closed to admit another one, the first ones first.
var yielding = []state{silent, partial, idle, receiving}

// states holds all states.
var states = append([]state{running}, yielding...)

// entry is a connection of a roster.
type entry struct {
	state state
	// refused is set if the connection is one of those whose requests are refused.
	refused bool
	element *list.Element
	// conn is the connection that the entry stands for.
	conn *Conn
}

// roster decides which connections a listener keeps. It is not safe for concurrent use.
type roster struct {
	// limit is the number of connections that are served, refusals that of further ones whose requests are refused.
	limit, refusals int
	serving         int
	refusing        int
	// entries holds the connections of each state, in the order in which they entered it.
	entries map[state]*list.List
}

func newRoster(limit, refusals int) *roster {
	r := &roster{limit: limit, refusals: refusals, entries: make(map[state]*list.List)}
	for _, s := range states {
		r.entries[s] = list.New()
	}
	return r
}

// admit adds a new connection, unless there is no room for it. The victim, unless nil, is to be closed and is no longer part of the
// roster.
func (r *roster) admit(e *entry) (admitted bool, victim *entry) {
	if r.serving >= r.limit {
		victim = r.victim(false)
		if victim == nil && r.refusing >= r.refusals {
			victim = r.victim(true)
		}
		if victim != nil {
			r.remove(victim)
		}
	}
	switch {
	case r.serving < r.limit:
		r.serving++
	case r.refusing < r.refusals:
		e.refused = true
		r.refusing++
	default:
		return false, victim
	}
	e.state = silent
	e.element = r.entries[silent].PushBack(e)
	return true, victim
}

// victim returns the connection that yields to a new one, among those that are served or those that are refused, or nil.
func (r *roster) victim(refused bool) *entry {
	for _, s := range yielding {
		for e := range r.all(s) {
			if e.refused == refused {
				return e
			}
		}
	}
	return nil
}

// move changes the state of a connection and reports whether it is still part of the roster.
func (r *roster) move(e *entry, to state) bool {
	if e.element == nil {
		return false
	}
	if e.state != to {
		r.entries[e.state].Remove(e.element)
		e.state = to
		e.element = r.entries[to].PushBack(e)
	}
	return true
}

// remove ends the entry of a connection and reports whether it was part of the roster.
func (r *roster) remove(e *entry) bool {
	if e.element == nil {
		return false
	}
	r.entries[e.state].Remove(e.element)
	e.element = nil
	if e.refused {
		r.refusing--
	} else {
		r.serving--
	}
	return true
}

// count returns the number of connections in a state.
func (r *roster) count(s state) int { return r.entries[s].Len() }

// all returns the connections in a state, those first that have been in it longest.
func (r *roster) all(s state) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for element := r.entries[s].Front(); element != nil; element = element.Next() {
			if !yield(element.Value.(*entry)) {
				return
			}
		}
	}
}
