package exchanger

import (
	"hash/maphash"
	"slices"
	"sync"
)

const (
	// lanes is the number of pools of kept connections to each upstream. A request whose id an open connection of one lane has
	// carried goes to the next lane, and after the last one to a connection of its own.
	lanes = 3
	// maxCarried bounds the ids that are remembered of one connection, the latest ones.
	maxCarried = 128
)

// carriedIDs keeps a connection from carrying two requests with one id. An upstream may send a response again where the next one on the
// connection is due, and only the id tells the two apart.
type carriedIDs struct {
	seed maphash.Seed

	mu sync.Mutex
	// open holds the open connections that have carried ids, by address.
	open map[string]map[*watchedConn]struct{}
}

func newCarriedIDs() *carriedIDs {
	return &carriedIDs{seed: maphash.MakeSeed(), open: make(map[string]map[*watchedConn]struct{})}
}

func (c *carriedIDs) hash(id string) uint64 { return maphash.String(c.seed, id) }

// lane returns the first lane in which no open connection to an address has carried an id; ok is false if there is none.
func (c *carriedIDs) lane(address, id string) (lane int, ok bool) {
	if id == "" {
		return 0, true
	}
	key := c.hash(id)
	var used [lanes]bool
	c.mu.Lock()
	for conn := range c.open[address] {
		used[conn.lane] = used[conn.lane] || slices.Contains(conn.carried, key)
	}
	c.mu.Unlock()
	lane = slices.Index(used[:], false)
	return max(lane, 0), lane >= 0
}

// add notes that a connection is about to carry a request. It reports false if the connection has carried its id before.
func (c *carriedIDs) add(conn *watchedConn, id string) bool {
	if id == "" {
		return true
	}
	key := c.hash(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(conn.carried, key) {
		return false
	}
	if len(conn.carried) < maxCarried {
		conn.carried = append(conn.carried, key)
	} else {
		conn.carried[conn.nextCarried%maxCarried] = key
		conn.nextCarried++
	}
	if conn.connection.closed.Load() {
		return true
	}
	if c.open[conn.address] == nil {
		c.open[conn.address] = make(map[*watchedConn]struct{})
	}
	c.open[conn.address][conn] = struct{}{}
	return true
}

// forget removes a closed connection.
func (c *carriedIDs) forget(conn *watchedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[conn.address], conn)
	if len(c.open[conn.address]) == 0 {
		delete(c.open, conn.address)
	}
}
