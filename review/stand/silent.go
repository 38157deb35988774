package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	silentServers  = 4
	silentLength   = 60 * time.Second
	silentInterval = 100 * time.Millisecond // between two ordinary orders
	// darkFor is how long a server's machine is down after a crash.
	darkFor = 3 * time.Second
	// crashInterval is the time between two arrivals of the request that crashes servers.
	crashInterval = 4 * time.Second
	contact       = 3 * time.Second // contact_ms
	mostRetries   = 3               // of the rule
	heartbeat     = 1200 * time.Millisecond
	orderTimeout  = 800 // ms, as on the site's plain routes
	orderWait     = 1500 * time.Millisecond
	crashingOrder = "the order that crashes servers"
)

// machine is the machine of a server: each start of the server is a new lifetime.
type machine struct {
	server *server
	starts int
	dark   atomic.Bool
}

// silentCrash: an order crashes each server that begins to run it. The server's machine goes
// dark: it sends nothing more, and is back three seconds later. The order comes again every
// four seconds. After the third crash it must reach servers three times more at most.
func silentCrash(e *env) (bool, error) {
	f, err := e.fleet("bangna", "samut", "lat-krabang")
	if err != nil {
		return false, err
	}
	// With HOW=reset the process alone crashes and its machine resets the channels.
	reset := os.Getenv("HOW") == "reset"
	var mu sync.Mutex
	var crashes []time.Time
	var machines []*machine
	for n := range silentServers {
		m := &machine{}
		m.server = &server{service: "desk", zone: f.hosts[n%len(f.hosts)].zone, slots: 6, record: e.record}
		m.server.answer = func(s *server, w net.Conn, r *http.Request, body []byte, _ int) bool {
			if m.dark.Load() {
				select {} // nothing is read or sent on this channel any more, until the machine resets it
			}
			id := r.Header.Get("X-Yuccadoor-Request-Id")
			s.run(id)
			if string(body) == crashingOrder && e.trouble {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				m.crash(e, f.store, n, reset)
				if reset {
					return false
				}
				select {}
			}
			time.Sleep(orderWork)
			if m.dark.Load() {
				select {}
			}
			text := "order " + id + " placed\n"
			_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Yuccadoor-Request-Id: %s\r\nX-Yuccadoor-Server-Stamp: %s\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.stamp(id), len(text), text)
			return err == nil
		}
		m.newLifetime(n)
		// The queue of new channels is short, so that it can be filled: a dark machine
		// takes no channels and refuses none.
		if err := m.server.listen(f.serverAddress(), 0); err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	putConfig(f.store, []any{plainService("desk")}, route{prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: orderTimeout, goalMs: 100, attempts: 1})
	for _, m := range machines {
		go m.beat(f.store)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	started := time.Now()
	var sending sync.WaitGroup
	var ordinary, served atomic.Int64
	sending.Go(func() {
		for n := 0; time.Since(started) < silentLength; n++ {
			id := fmt.Sprintf("9c41d07be2a%05d", n)
			sending.Go(func() {
				ordinary.Add(1)
				if r := send(f.hosts[n%len(f.hosts)].front(), http.MethodPost, "/order/2f", id, "roll "+id, orderWait); r.status == http.StatusOK {
					served.Add(1)
				} else {
					e.record.add("client  gets %d for the ordinary order %s, error %v", r.status, id, r.err)
				}
			})
			time.Sleep(silentInterval)
		}
	})
	type arrival struct {
		id   string
		sent time.Time
	}
	var sent []arrival
	for n := 0; time.Since(started) < silentLength; n++ {
		h := f.hosts[n%len(f.hosts)]
		a := arrival{fmt.Sprintf("5f1d2c30aa1%05d", n), time.Now()}
		sent = append(sent, a)
		e.record.add("client  sends the crashing order as %s to %s", a.id, h.name)
		r := send(h.front(), http.MethodPost, "/order/2f", a.id, crashingOrder, orderWait)
		e.record.add("client  gets %d for %s, error %v", r.status, a.id, r.err)
		time.Sleep(time.Until(a.sent.Add(crashInterval)))
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.record.add("%d ordinary orders, %d served", ordinary.Load(), served.Load())
	if len(crashes) < 3 {
		e.record.add("%d crashes", len(crashes))
		fmt.Printf("%d crashes\n", len(crashes))
		return false, nil
	}
	later := 0
	for _, a := range sent {
		for _, m := range machines {
			if a.sent.After(crashes[2].Add(contact)) && m.server.runsOf(a.id) > 0 {
				later++
				e.record.add("BUDGET: %s, sent %.1f s after the third crash, reaches a server and crashes it", a.id, a.sent.Sub(crashes[2]).Seconds())
			}
		}
	}
	e.record.add("%d crashes; %d retries reached servers later than contact_ms after the third, %d are allowed", len(crashes), later, mostRetries)
	fmt.Printf("%d crashes; %d retries reached servers later than contact_ms after the third, %d are allowed; %d of %d ordinary orders served\n", len(crashes), later, mostRetries, served.Load(), ordinary.Load())
	return later > mostRetries, nil
}

// newLifetime gives the server the id of its next start.
func (m *machine) newLifetime(n int) {
	m.starts++
	m.server.id = fmt.Sprintf("i-%d%02d3a91c", n, m.starts)
	m.server.born = time.Now()
}

// beat writes the server's entry at each heartbeat while the machine is up.
func (m *machine) beat(st *store) {
	for seq := 1; ; seq++ {
		if !m.dark.Load() {
			m.server.mu.Lock()
			id, entry := m.server.id, m.server.entry(seq)
			m.server.mu.Unlock()
			st.put("servers/"+id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// crash takes the machine down; it is back after darkFor with another lifetime of the server.
// The old entry is removed after three heartbeats of silence.
func (m *machine) crash(e *env, st *store, n int, reset bool) {
	e.record.add("%s  crashes", m.server.id)
	m.dark.Store(true)
	old := m.server.id
	resume, filler, err := fillQueue(m.server)
	if err != nil {
		e.record.add("cannot fill the queue of %s: %v", old, err)
		return
	}
	if reset {
		m.server.resetChannels()
	}
	time.AfterFunc(3*heartbeat, func() { st.remove("servers/" + old) })
	time.AfterFunc(darkFor, func() {
		m.server.resetChannels()
		filler.Close()
		m.server.mu.Lock()
		m.newLifetime(n)
		m.server.mu.Unlock()
		m.dark.Store(false)
		resume()
		e.record.add("%s  is back as %s", old, m.server.id)
	})
}
