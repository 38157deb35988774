package intake

import "container/list"

// connState is how far the current request of a connection is.
type connState struct {
	in    *list.List    // incomplete or idle; nil while a complete request is served
	place *list.Element // in that list
	head  int64         // bytes of the current request's head beyond FreeHeadBytes
}

// Conns is the account of the connections of one port, which are identified by K. Those
// without a complete request are closed for others when there are too many.
type Conns[K comparable] struct {
	limit      int
	headLimit  int64
	states     map[K]*connState
	incomplete *list.List // of K; a first request or the rest of one is awaited, the longest without progress first
	idle       *list.List // of K; between two requests
	heads      int64
}

// NewConns returns an empty account with limits on open connections and on bytes of heads.
func NewConns[K comparable](limit int, headBytes int64) *Conns[K] {
	return &Conns[K]{limit: limit, headLimit: headBytes, states: map[K]*connState{}, incomplete: list.New(), idle: list.New()}
}

// Number returns the number of open connections.
func (c *Conns[K]) Number() int { return len(c.states) }

// Heads returns the bytes of heads that are held beyond FreeHeadBytes each.
func (c *Conns[K]) Heads() int64 { return c.heads }

// Full reports whether another connection would be one too many.
func (c *Conns[K]) Full() bool { return len(c.states) >= c.limit }

// Oldest returns the connection that is to be closed for another one: of those without a
// complete request the one without progress for the longest time, or else the one that is
// idle longest. It returns false if all connections have complete requests.
func (c *Conns[K]) Oldest() (K, bool) {
	for _, l := range []*list.List{c.incomplete, c.idle} {
		if e := l.Front(); e != nil {
			return e.Value.(K), true
		}
	}
	var none K
	return none, false
}

// Open adds a connection.
func (c *Conns[K]) Open(k K) {
	s := &connState{}
	c.states[k] = s
	c.move(k, s, c.incomplete)
}

// Close removes a connection.
func (c *Conns[K]) Close(k K) {
	if s := c.states[k]; s != nil {
		c.move(k, s, nil)
		c.heads -= s.head
		delete(c.states, k)
	}
}

// Progress records that bytes of an incomplete request have arrived.
func (c *Conns[K]) Progress(k K) {
	if s := c.states[k]; s != nil && s.in == c.incomplete {
		c.incomplete.MoveToBack(s.place)
	}
}

// Begin records that the rest of a request is awaited, whose head has been read.
func (c *Conns[K]) Begin(k K) {
	if s := c.states[k]; s != nil {
		c.move(k, s, c.incomplete)
	}
}

// Complete records that nothing more is awaited of a request.
func (c *Conns[K]) Complete(k K) {
	if s := c.states[k]; s != nil {
		c.move(k, s, nil)
	}
}

// End records that a request has ended and the connection waits for the next one.
func (c *Conns[K]) End(k K) {
	if s := c.states[k]; s != nil {
		c.heads -= s.head
		s.head = 0
		c.move(k, s, c.idle)
	}
}

// move moves a connection to the end of a list; nil for none.
func (c *Conns[K]) move(k K, s *connState, to *list.List) {
	if s.in != nil {
		s.in.Remove(s.place)
	}
	s.in, s.place = to, nil
	if to != nil {
		s.place = to.PushBack(k)
	}
}

// GrowHead adds bytes to the head that a connection holds. If heads take too much, it
// removes and returns the connection that is to be closed: of those without a complete
// request the one with the largest head.
func (c *Conns[K]) GrowHead(k K, bytes int64) (K, bool) {
	var largest K
	s := c.states[k]
	if s == nil {
		return largest, false
	}
	s.head += bytes
	c.heads += bytes
	if c.heads <= c.headLimit {
		return largest, false
	}
	size := int64(0)
	for other, o := range c.states {
		if o.in != nil && o.head > size {
			largest, size = other, o.head
		}
	}
	if size == 0 {
		return largest, false
	}
	c.Close(largest)
	return largest, true
}
