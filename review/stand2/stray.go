package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case in which faulty servers send stray bytes.
const (
	strayLength  = 90 * time.Second
	strayServers = 4
	strayFaulty  = 2
	strayShare   = 0.03 // of the answers of a faulty server that stray bytes precede
	strayEvery   = 25 * time.Millisecond
	strayPath    = "/order/6"
)

// strayHead is the head of an answer that belongs to no request. All answers of these servers name
// the trailer in which they send a digest.
const strayHead = "HTTP/1.1 503 Service Unavailable\r\nX-Yuccadoor-Not-Executed: 1\r\n" + trailerLine + "Transfer-Encoding: chunked\r\n\r\n"

const trailerLine = "Trailer: Content-Digest\r\n"

// serveRaw serves plain requests on kept channels. A faulty server precedes some answers by the
// beginning of an answer that belongs to nobody.
func (s *server) serveRaw(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			kept := s.answerRaw(conn, reader, false)
			for kept {
				kept = s.answerRaw(conn, reader, true)
			}
		}()
	}
}

// answerRaw answers the next request of a channel. It returns false if there is none.
func (s *server) answerRaw(conn net.Conn, reader *bufio.Reader, kept bool) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	id := r.Header.Get(headerRequestID)
	if want := r.Header.Get("X-Yuccadoor-Expect-Instance"); want != "" && want != s.spec.ID {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Yuccadoor-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", headerRequestID, id, s.spec.ID)
		return err == nil
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.record("run", id, 0)
	pieces := answerPieces(r.URL.Path, id, s.spec.Version)
	time.Sleep(time.Duration(len(pieces)) * s.spec.Piece)
	stray := ""
	if kept && rand.Float64() < s.spec.Stray {
		stray = strayHead[:1+rand.IntN(len(strayHead)-1)]
		s.record(fmt.Sprintf("stray %q", stray), id, 0)
	}
	body := strings.Join(pieces, "")
	_, err = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nX-Yuccadoor-Server-Stamp: stamp-%s\r\nX-Yuccadoor-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nContent-Digest: none\r\n\r\n",
		stray, headerRequestID, id, s.spec.ID, len(s.slots), s.spec.Slots, trailerLine, len(body), body)
	s.record("sent", id, 0)
	return err == nil
}

// playStray has faulty servers precede some answers by stray bytes. No order may run twice.
func playStray(f *fleet, trouble bool) ([]string, error) {
	f.configure([]route{{"/order/", "unsafe", "order-desk", 1, false, 1500 * time.Millisecond}}, 4)
	zones := []string{"a", "b", "c"}
	for i := range strayServers {
		spec := serverSpec{Service: "order-desk", Zone: zones[i%3], Version: "v1", Slots: 6, Queue: 24, Piece: 4 * time.Millisecond, Raw: true}
		if trouble && i < strayFaulty {
			spec.Stray = strayShare
		}
		if _, err := f.startServer(spec); err != nil {
			return nil, err
		}
	}
	if err := f.startHosts(zones...); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	answers := map[string]attempt{}
	var sending sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < strayLength; n++ {
		time.Sleep(strayEvery)
		sending.Go(func() {
			id := fmt.Sprintf("order%05d", n)
			h := f.entry(fmt.Sprint("client-", n%32), zones[n%3], 0)
			a := f.send(h, http.MethodPost, strayPath, id, "text of "+id, 1500*time.Millisecond, nil)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	sending.Wait()
	time.Sleep(100 * time.Millisecond) // the last records of the servers
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string][]string{}
	for _, r := range f.runs {
		if r.Event == "run" {
			runs[r.ID] = append(runs[r.ID], r.Server)
		}
	}
	var broken []string
	for id, servers := range runs {
		if len(servers) > 1 {
			broken = append(broken, fmt.Sprintf("%s ran at %s; its client has status %d", id, strings.Join(servers, " and "), answers[id].status))
		}
	}
	return broken, nil
}
