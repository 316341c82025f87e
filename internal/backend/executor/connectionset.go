package executor

import "sync"

// connectionSet holds the open connections by address. When one connection stops
// responding, the idle connections to the same address are likely to be affected too.
// They are closed, so that retries don't wait on them one by one, each for a full timeout.
type connectionSet struct {
	mu             sync.Mutex
	lastDialNumber uint64
	byAddress      map[string]map[*connection]struct{}
}

// usage is the state of a connection in a connectionSet, guarded by the set's mutex.
type usage struct {
	address string
	// dialNumber orders the connections of the set by when they were dialed.
	dialNumber uint64
	// useCount counts the attempts that used the connection.
	useCount uint64
	idle     bool
}

func (s *connectionSet) add(c *connection, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastDialNumber++
	// A new connection counts as idle until an attempt uses it. If the attempt that
	// dialed it got another connection, the transport keeps this one as idle without
	// calling a hook.
	c.usage = usage{address: address, dialNumber: s.lastDialNumber, idle: true}
	if s.byAddress == nil {
		s.byAddress = map[string]map[*connection]struct{}{}
	}
	if s.byAddress[address] == nil {
		s.byAddress[address] = map[*connection]struct{}{}
	}
	s.byAddress[address][c] = struct{}{}
}

func (s *connectionSet) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *connectionSet) removeLocked(c *connection) {
	address := c.usage.address
	delete(s.byAddress[address], c)
	if len(s.byAddress[address]) == 0 {
		delete(s.byAddress, address)
	}
}

// newest returns the dial number of the newest connection.
func (s *connectionSet) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDialNumber
}

// beginUse records that an attempt uses a connection and returns the number of the use.
func (s *connectionSet) beginUse(c *connection) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.usage.useCount++
	c.usage.idle = false
	return c.usage.useCount
}

// endUse records the end of a use. The connection stays in use if the next use has
// already begun.
func (s *connectionSet) endUse(c *connection, useNumber uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.usage.useCount == useNumber {
		c.usage.idle = true
	}
}

// closeIdle closes the idle connections to an address whose dial number is at most
// newest. An attempt that gets one of them at the same moment fails before its first
// byte is sent.
func (s *connectionSet) closeIdle(address string, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.byAddress[address] {
		if c.usage.idle && c.usage.dialNumber <= newest {
			// The connection isn't used again, so an error of Close doesn't matter.
			_ = c.Conn.Close()
			s.removeLocked(c)
		}
	}
}
