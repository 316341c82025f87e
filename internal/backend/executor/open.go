package executor

import "sync"

// openSet has the open connections by address. When one of them went silent, those
// that nobody uses are likely to be silent too: a retry would find out one after the
// other, each after a whole bound.
type openSet struct {
	mu        sync.Mutex
	dialed    uint64
	byAddress map[string]map[*connection]struct{}
}

// usage is what the set knows of a connection. Its mutex guards it.
type usage struct {
	address string
	// number counts the dialed connections.
	number uint64
	// uses counts the requests that got the connection.
	uses uint64
	idle bool
}

func (o *openSet) add(c *connection, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialed++
	// A connection that is dialed for a request which got another one becomes idle
	// without a hook.
	c.usage = usage{address: address, number: o.dialed, idle: true}
	if o.byAddress == nil {
		o.byAddress = map[string]map[*connection]struct{}{}
	}
	if o.byAddress[address] == nil {
		o.byAddress[address] = map[*connection]struct{}{}
	}
	o.byAddress[address][c] = struct{}{}
}

func (o *openSet) remove(c *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop(c)
}

func (o *openSet) drop(c *connection) {
	address := c.usage.address
	delete(o.byAddress[address], c)
	if len(o.byAddress[address]) == 0 {
		delete(o.byAddress, address)
	}
}

// mark returns the number of the connection that was dialed last.
func (o *openSet) mark() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dialed
}

// begin notes that a request got a connection and returns the number of that use.
func (o *openSet) begin(c *connection) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.usage.uses++
	c.usage.idle = false
	return c.usage.uses
}

// end notes that a use is over. The next one may have begun before.
func (o *openSet) end(c *connection, use uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.usage.uses == use {
		c.usage.idle = true
	}
}

// retireIdle closes the connections to an address that nobody uses and that were
// dialed no later than a mark. A request that gets one of them at this moment fails
// before its first byte leaves.
func (o *openSet) retireIdle(address string, mark uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.byAddress[address] {
		if c.usage.idle && c.usage.number <= mark {
			// The connection is given up; whether its close fails makes no difference.
			_ = c.Conn.Close()
			o.drop(c)
		}
	}
}
