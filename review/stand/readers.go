package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	cutRounds = 4
	cutFor    = 5500 * time.Millisecond
	cutPause  = 16 * time.Second // between the beginnings of two cuts
	// stormGap is the time between two changes of the configuration in quick succession. The
	// cut begins between two of them, changeAfter before the second.
	stormGap    = 330 * time.Millisecond
	changeAfter = 100 * time.Millisecond
	configApply = 2 * time.Second       // config_apply_ms
	askInterval = 50 * time.Millisecond // between two requests at a host
	secondKey   = "n2ctnfzs989anu6wsjnb"
)

// readersCut: the operator sends two configurations in quick succession. Between them the
// machines that read the store, three of eight, are cut off from it. The second configuration
// takes a key away and moves a route to another service. The other five hosts reach the store
// and all servers; later than config_apply_ms after the ack they must not serve what only the
// older version allows.
func readersCut(e *env) (bool, error) {
	f, err := e.fleet("bangna", "bangna", "bangna", "samut", "samut", "samut", "lat-krabang", "lat-krabang")
	if err != nil {
		return false, err
	}
	answer := func(s *server, w net.Conn, r *http.Request, _ []byte, _ int) bool {
		id := r.Header.Get("X-Yuccadoor-Request-Id")
		s.run(id)
		time.Sleep(orderWork)
		text := s.service + " answers " + id + "\n"
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Yuccadoor-Request-Id: %s\r\nX-Yuccadoor-Server-Stamp: %s\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, s.stamp(id), len(text), text)
		return err == nil
	}
	var servers []*server
	for n, service := range []string{"desk", "desk", "desk", "shop", "shop", "shop"} {
		s := &server{id: fmt.Sprintf("i-7f3a91c%d", n), service: service, zone: []string{"bangna", "samut", "lat-krabang"}[n%3], slots: 6, record: e.record, answer: answer}
		if err := s.listen(f.serverAddress(), -1); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	// The older versions have two keys, and the route leads to the desk; the newer ones have
	// one key, and it leads to the shop.
	ran := func(service, id string) bool {
		for _, s := range servers {
			if s.service == service && s.runsOf(id) > 0 {
				return true
			}
		}
		return false
	}
	version := 0
	put := func(newer bool) {
		version += 3
		keys, service := []string{apiKey, secondKey}, "desk"
		if newer {
			keys, service = keys[:1], "shop"
		}
		putVersion(f.store, version, keys, []any{plainService("desk"), plainService("shop")},
			route{prefix: "/look/", kind: "safe", service: service, timeoutMs: orderTimeout, goalMs: 100, attempts: 2})
		e.record.add("operator  the store acknowledges version %d", version)
	}
	put(false)
	for _, s := range servers {
		f.store.put("servers/"+s.id, s.entry(1)) // changes only when more than seq changes
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	late, serial := 0, 0
	for round := range cutRounds {
		put(false)
		time.Sleep(stormGap - changeAfter)
		began := time.Now()
		var inTouch []*host
		cut := 0
		for _, h := range f.hosts {
			if cut < 3 && h.door.isWatched() {
				cut++
				if e.trouble {
					h.door.set(true)
				}
				e.record.add("%s  reads the store; cut off from it: %v", h.name, e.trouble)
				continue
			}
			inTouch = append(inTouch, h)
		}
		time.Sleep(changeAfter)
		put(true)
		acked := time.Now()
		type asked struct {
			id, key string
			host    *host
			sent    time.Time
		}
		var all []asked
		var sending sync.WaitGroup
		for ; time.Since(began) < cutFor; time.Sleep(askInterval) {
			for _, h := range inTouch {
				for _, key := range []string{apiKey, secondKey} {
					serial++
					a := asked{fmt.Sprintf("9c41d07be2a%05d", serial), key, h, time.Now()}
					all = append(all, a)
					sending.Go(func() {
						r := sendWith(key, h.front(), http.MethodGet, "/look/2f", a.id, "", orderWait)
						e.record.add("client  gets %d for %s from %s, sent %.3f s after the ack, error %v", r.status, a.id, h.name, a.sent.Sub(acked).Seconds(), r.err)
					})
				}
			}
		}
		for _, h := range f.hosts {
			h.door.set(false)
		}
		sending.Wait()
		worst := time.Duration(0)
		n := 0
		for _, a := range all {
			old := ran("desk", a.id) || a.key == secondKey && ran("shop", a.id)
			if !old {
				continue
			}
			worst = max(worst, a.sent.Sub(acked))
			if a.sent.Sub(acked) > configApply {
				n++
				e.record.add("CONFIG: %s, sent %.3f s after the ack, is run as only the older version allows (key taken away: %v)", a.id, a.sent.Sub(acked).Seconds(), a.key == secondKey)
			}
		}
		late += n
		e.record.add("round %d: %d requests were sent later than config_apply_ms and run by the older version; the last run by it was sent %.3f s after the ack", round+1, n, worst.Seconds())
		fmt.Printf("round %d: %d requests too late, the last sent %.3f s after the ack\n", round+1, n, worst.Seconds())
		put(false)
		time.Sleep(time.Until(began.Add(cutPause)))
	}
	return late > 0, nil
}
