package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"yuccadoor/platform/stand"
)

// Parameters of playParts.
const (
	partServers  = 12
	readTime     = 60 * time.Millisecond // of a prompt, after which an answer begins
	partEvents   = 10
	partInterval = 5 * time.Millisecond
	partDown     = 2500 * time.Millisecond
	baseLength   = 4 * time.Second // of sound requests of another kind before
	soundEvery   = 150 * time.Millisecond
	badEvery     = 500 * time.Millisecond
	soundFrom    = 3 * time.Second // from the first request of the new kind to the others
	soundLength  = 16 * time.Second
	contact      = 3 * time.Second // contact_ms
	minCounted   = 20              // sound requests of each kind
)

// Ids of the kinds of request. firstID is that of the first request of the new kind.
const (
	oldKind = 1
	newKind = 2
	firstID = "f1757000000000"
)

// partServer is a stand-in for a model server that a part of prompts crashes as it begins to write
// an answer on it.
type partServer struct {
	number  int
	system  *system
	address netip.AddrPort
	crashed func()
	// fails is set if the server fails while it runs the first request of the new kind.
	fails bool

	mu     sync.Mutex
	id     string       // guarded by mu; of the present process
	starts int          // guarded by mu
	server *http.Server // guarded by mu; nil while the process is down
}

// start starts a process and registers it under a new id.
func (p *partServer) start() error {
	at := "127.0.0.1:0"
	if p.address.IsValid() {
		at = p.address.String()
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = l.Addr().(*net.TCPAddr).AddrPort()
	p.starts++
	p.id = fmt.Sprintf("i-%02d%02d", p.number, p.starts)
	id := p.id
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, id) })}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	p.system.store.Put("servers/"+p.id, map[string]any{
		"service": engineService, "address": p.address.String(), "zone": zoneOf(p.number), "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// stop ends the process, and returns its id.
func (p *partServer) stop() (id string, ended bool) {
	p.mu.Lock()
	s, id := p.server, p.id
	p.server = nil
	p.mu.Unlock()
	if s != nil {
		s.Close()
	}
	return id, s != nil
}

// crash ends the process, and starts another one some seconds later.
func (p *partServer) crash() {
	id, ended := p.stop()
	if !ended {
		return
	}
	p.system.record.line("server %s crashes", id)
	time.AfterFunc(partDown, func() {
		p.system.store.Delete("servers/" + id)
		if err := p.start(); err != nil {
			p.system.record.line("server %d does not start: %v", p.number, err)
		}
	})
}

func (p *partServer) serve(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	w.Header().Set(headerInstance, id)
	if want := r.Header.Get(headerExpect); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(readTime)
	switch {
	case strings.Contains(r.Header.Get(stand.PromptHeader), "bad"):
		p.system.record.line("%s has the part that crashes servers", r.Header.Get(headerRequest))
		p.crash()
		p.crashed()
		panic(http.ErrAbortHandler)
	case p.fails && r.Header.Get(headerRequest) == firstID:
		p.system.record.line("%s is sound; its server fails by itself", firstID)
		p.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerStamp, "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= partEvents; n++ {
		time.Sleep(partInterval)
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// soundRequest is a sound request and whether it was served at its first try.
type soundRequest struct {
	sentAt time.Time
	served bool
	status int
}

// partPlay is the state of playParts.
type partPlay struct {
	system *system

	mu        sync.Mutex
	crashedAt []time.Time    // guarded by mu; by the part
	sound     []soundRequest // guarded by mu; since the last reset
}

// send sends one request of a kind.
func (p *partPlay) send(ctx context.Context, id string, kind, n int, bad bool) {
	third := "50d0"
	if bad {
		third = "bad0"
	}
	prompt := fmt.Sprintf("a%02d0:800,%s%02d:410,c%02d0:300,%s:40", kind, third, kind, kind, id[:8])
	sentAt := time.Now()
	reply := stand.Send(ctx, p.system.nodes[n%hostCount].Front, http.MethodPost, "/stream/x", id, "key-1", id, 5*time.Second,
		stand.Header{Name: stand.PromptHeader, Value: prompt}, stand.Header{Name: "X-Yuccadoor-Token-Usage", Value: "1550,10"})
	served := reply.Status == http.StatusOK && reply.Err == nil
	p.system.record.line("%s, bad %v, to %s: status %d, served %v, %.30q", id, bad, p.system.nodes[n%hostCount].Name, reply.Status, served, reply.Body)
	if bad {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundRequest{sentAt, served, reply.Status})
}

// load sends requests of a kind in steps until a time.
func (p *partPlay) load(ctx context.Context, kind int, bad bool, step time.Duration, until time.Time) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 1; time.Now().Before(until) && ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%x%x%06x%06x", kind, 5, n, n)
		if bad {
			id = fmt.Sprintf("%x%x%06x%06x", kind, 0xb, n, n)
		}
		pending.Go(func() { p.send(ctx, id, kind, n, bad) })
		sleep(ctx, step)
	}
}

// counts returns the sound requests that were sent later than a time, those of them that
// were served, and the statuses of all.
func (p *partPlay) counts(after time.Time) (sent, served int, statuses map[int]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses = map[int]int{}
	for _, r := range p.sound {
		statuses[r.status]++
		if r.sentAt.After(after) {
			sent++
			if r.served {
				served++
			}
		}
	}
	return sent, served, statuses
}

// reset forgets the requests so far.
func (p *partPlay) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = nil
}

// lastCounted is the fifth crash, or the last if there were fewer.
func (p *partPlay) lastCounted() (at time.Time, crashes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashedAt) == 0 {
		return time.Time{}, 0
	}
	return p.crashedAt[min(len(p.crashedAt), 5)-1], len(p.crashedAt)
}

// playParts sends requests of a new kind. The first one is sound; then come ones that hold a part
// that crashes servers, and 3 s later sound ones as well, which share the caller and the other parts.
// With the disruption, the server that runs the first one fails meanwhile.
func playParts(ctx context.Context, s *system, trouble bool) (verdict, error) {
	p := &partPlay{system: s}
	var servers []*partServer
	defer func() {
		for _, v := range servers {
			v.stop()
		}
	}()
	for n := range partServers {
		v := &partServer{number: n, system: s, fails: trouble, crashed: p.addCrash}
		if err := v.start(); err != nil {
			return verdict{}, err
		}
		servers = append(servers, v)
	}
	d := &stand.Deployment{Version: 1, Keys: []string{"key-1"}, ColdRate: 100, Routes: []stand.Route{
		{Prefix: "/stream/", Kind: "stream", Service: engineService, Attempts: 1, Timeout: 4 * time.Second},
	}}
	if err := s.publish(ctx, d); err != nil {
		return verdict{}, err
	}
	p.load(ctx, oldKind, false, soundEvery, time.Now().Add(baseLength))
	before, beforeServed, _ := p.counts(time.Time{})
	s.record.line("before: %d of %d sound requests of the old kind served at the first try", beforeServed, before)
	p.reset()
	p.send(ctx, firstID, newKind, 0, false)
	began := time.Now()
	until := began.Add(soundFrom + soundLength)
	var pending sync.WaitGroup
	pending.Go(func() { p.load(ctx, newKind, true, badEvery, until) })
	sleep(ctx, soundFrom)
	p.load(ctx, newKind, false, soundEvery, until)
	pending.Wait()
	last, crashes := p.lastCounted()
	after, served, statuses := p.counts(last.Add(2 * contact))
	s.record.line("%d crashes by the part; statuses of all sound requests of the new kind: %v", crashes, statuses)
	finding := fmt.Sprintf("from 6 s after the last counted crash on, %d of %d sound requests are served at the first try; before, %d of %d", served, after, beforeServed, before)
	if crashes == 0 || min(before, after) < minCounted {
		return verdict{}, fmt.Errorf("too few requests: %s", finding)
	}
	return verdict{2*served*before < beforeServed*after, finding}, nil
}

// addCrash records a crash by the part.
func (p *partPlay) addCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashedAt = append(p.crashedAt, time.Now())
}
