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
	orderLength   = 20 * time.Second
	orderInterval = 40 * time.Millisecond // between two orders at a host
	orderWork     = 15 * time.Millisecond
	// strayEvery is the number of answers of the faulty server of which one has stray bytes
	// before it: 2 in 100, at one server of two.
	strayEvery = 50
	// strayBytes is the beginning of an answer that belongs to no request.
	strayText = "HTTP/1.1 503 Service Unavailable\r\nX-Yuccadoor-Not-Executed: 1\r\nDate: Sat, 05 De"
	// straySuccess is the same of an answer that says success; the true answer after it is
	// the server's own 500. Used with HOW=failure.
	straySuccess = "HTTP/1.1 200 OK\r\nDate: Sat, 05 De"
)

// strayBytes: a faulty server sends bytes that belong to no request where the answer to the
// next request is due, the beginning of an answer that is cut within a header line. Then it
// answers the request, which it has run, as a sound server does. No order may run twice.
func strayBytes(e *env) (bool, error) {
	f, err := e.fleet("bangna", "samut")
	if err != nil {
		return false, err
	}
	failure := os.Getenv("HOW") == "failure"
	var answers atomic.Int64
	var falsified sync.Map // ids of orders that the faulty server has answered with 500
	answer := func(faulty bool) func(*server, net.Conn, *http.Request, []byte, int) bool {
		return func(s *server, w net.Conn, r *http.Request, _ []byte, n int) bool {
			id := r.Header.Get("X-Yuccadoor-Request-Id")
			s.run(id)
			time.Sleep(orderWork)
			stray := ""
			if faulty && answers.Add(1)%strayEvery == 0 && n > 1 && e.trouble {
				stray = strayText
				s.record.add("%s  sends stray bytes before its answer to %s", s.id, id)
			}
			body, status := "order "+id+" placed\n", "200 OK"
			if stray != "" && failure {
				stray, body, status = straySuccess, "order "+id+" failed\n", "500 Internal Server Error"
				falsified.Store(id, true)
			}
			_, err := fmt.Fprintf(w, "%sHTTP/1.1 %s\r\nX-Yuccadoor-Request-Id: %s\r\nX-Yuccadoor-Server-Stamp: %s\r\nX-Yuccadoor-Server-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
				stray, status, id, s.stamp(id), len(body), body)
			return err == nil
		}
	}
	one := &server{id: "i-7f3a91c2", service: "desk", zone: "bangna", slots: 6, record: e.record, answer: answer(true)}
	two := &server{id: "i-02d9e6b4", service: "desk", zone: "samut", slots: 6, record: e.record, answer: answer(false)}
	for _, s := range []*server{one, two} {
		if err := s.listen(f.serverAddress(), -1); err != nil {
			return false, err
		}
	}
	putConfig(f.store, []any{plainService("desk")}, route{prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 1500, goalMs: 100, attempts: 1})
	publish(f.store, one, two)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var ids []string
	var sending sync.WaitGroup
	var mixed atomic.Int64
	n := 0
	for end := time.Now().Add(orderLength); time.Now().Before(end); time.Sleep(orderInterval) {
		for _, h := range f.hosts {
			n++
			id := fmt.Sprintf("9c41d07be2a%05d", n)
			ids = append(ids, id)
			sending.Go(func() {
				e.record.add("client  sends %s to %s", id, h.name)
				r := send(h.front(), http.MethodPost, "/order/2f", id, "roll", 1500*time.Millisecond)
				e.record.add("client  gets %d for %s, stamp %q, error %v", r.status, id, r.stamp, r.err)
				if _, failed := falsified.Load(id); failed && r.status == http.StatusOK {
					mixed.Add(1)
					e.record.add("MIXED: the server answered %s with 500, and the client gets 200 with its stamp: %q", id, r.body)
				}
			})
		}
	}
	sending.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, served := 0, 0
	for _, id := range ids {
		runs := one.runsOf(id) + two.runsOf(id)
		if runs > 0 {
			served++
		}
		if runs > 1 {
			twice++
			e.record.add("TWICE: %s ran %d times: %d at %s, %d at %s", id, runs, one.runsOf(id), one.id, two.runsOf(id), two.id)
		}
	}
	e.record.add("%d orders sent, %d ran, %d ran more than once", len(ids), served, twice)
	fmt.Printf("%d orders sent, %d ran, %d ran more than once\n", len(ids), served, twice)
	if served < len(ids)*9/10 {
		return false, fmt.Errorf("only %d of %d orders ran", served, len(ids))
	}
	if failure {
		fmt.Printf("%d failures of the server reached the client as successes\n", mixed.Load())
	}
	return twice > 0 || mixed.Load() > 0, nil
}
