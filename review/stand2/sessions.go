package main

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the cases in which two software versions serve the turns of sessions.
const (
	zoneServers = 4 // by turns of one and the other version
	zoneClients = 14
	// In the case of a lost zone, that zone has more clients than its servers have slots.
	busyClients  = 22
	calmClients  = 8
	shortTurn    = "/stream/6"
	longTurn     = "/stream/60"
	versionPiece = 60 * time.Millisecond
	streamLimit  = 12 * time.Second // how long a client waits for a stream, over all its tries
	maxTries     = 5
	thinkTime    = 150 * time.Millisecond
	// strikeAfter is when the disruption comes, after the long streams have begun.
	strikeAfter = 1500 * time.Millisecond
	rounds      = 3
	// downtime is how long what was killed is down.
	downtime = 1500 * time.Millisecond
)

// sessionClient is a client with a session of several turns.
type sessionClient struct {
	fleet   *fleet
	name    string
	zone    string
	session string // last part of the prompts of all its turns
	shared  string
}

// streamResult is a stream, over all tries of its client.
type streamResult struct {
	client   string
	attempts []attempt
	versions []string // that wrote its events
	events   int
	whole    bool
	takenUp  bool // the client took it up again at a host in touch
	wentOn   bool // and it went on
}

var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: (\S+) piece \d+ of \d+\n\n`)

// turn sends a turn of the session, and takes its stream up again where it breaks.
func (c *sessionClient) turn(turn string, path string, isLost func(*host) bool) streamResult {
	began := time.Now()
	result := streamResult{client: c.name}
	first := ""
	for try := 0; try < maxTries; try++ {
		left := streamLimit - time.Since(began)
		if left < time.Second {
			break
		}
		header := http.Header{
			"X-Yuccadoor-Model": {"m"}, "X-Yuccadoor-Token-Usage": {"1200,300"},
			"X-Yuccadoor-Prefix-Hash": {c.shared + ":60," + c.session + ":1140"},
		}
		if result.events > 0 {
			header.Set("Resumes", first)
			header.Set("Last-Event-Id", fmt.Sprint(result.events))
		}
		id := fmt.Sprintf("%s-%s-%d", c.name, turn, try)
		h := c.fleet.entry(c.name, c.zone, try)
		a := c.fleet.send(h, http.MethodPost, path, id, "text of "+c.name+turn, left, header)
		result.attempts = append(result.attempts, a)
		again := result.events > 0 && !isLost(h)
		result.takenUp = result.takenUp || again
		got := result.add(a.body)
		result.wentOn = result.wentOn || again && got > 0
		if got > 0 && first == "" {
			first = id
		}
		if a.err == nil && a.status == http.StatusOK {
			result.whole = true
			break
		}
		wait := 200 * time.Millisecond
		if a.retry > 0 {
			wait = min(a.retry, (streamLimit-time.Since(began))/3)
		}
		time.Sleep(wait)
	}
	return result
}

// add adds the whole events of an answer and returns their number.
func (r *streamResult) add(body string) int {
	events := eventPattern.FindAllStringSubmatch(body, -1)
	for _, e := range events {
		if !slices.Contains(r.versions, e[2]) {
			r.versions = append(r.versions, e[2])
		}
	}
	r.events += len(events)
	return len(events)
}

// versionFleet starts hosts and servers of two software versions in three zones.
func versionFleet(f *fleet) (zones []string, servers []*serverProcess, err error) {
	f.configure([]route{{"/stream/", "stream", "loom-llm", 3, true, streamLimit}}, 4)
	zones = []string{"a", "b", "c"}
	for i := range len(zones) * zoneServers {
		s, err := f.startServer(serverSpec{
			Service: "loom-llm", Zone: zones[i%len(zones)], Version: []string{"v1", "v2"}[i/len(zones)%2], Slots: 4, Queue: 24, Piece: versionPiece, Framed: true,
		})
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
	}
	return zones, servers, f.startHosts(zones...)
}

// playSessions has clients take turns of their sessions. In each round all begin a long stream,
// and strike is called while these run. The result holds the long streams, and the share of new
// streams that began after the strike at hosts in touch.
func playSessions(f *fleet, clientZones func() ([]string, error), turns int, strike func() (lost *host, err error)) (long []streamResult, began float64, err error) {
	var mu sync.Mutex
	begun, asked := 0, 0
	var lost *host // written before struck is closed, and read after
	for round := range rounds {
		zones, err := clientZones()
		if err != nil {
			return nil, 0, err
		}
		var playing sync.WaitGroup
		struck := make(chan struct{})
		for i, zone := range zones {
			c := &sessionClient{
				fleet: f, name: fmt.Sprintf("client-%d-%02d", round, i), zone: zone,
				session: fmt.Sprintf("%x", 1<<40+round<<20+i), shared: fmt.Sprintf("%x", 100+i%4),
			}
			playing.Go(func() {
				for n := range turns {
					c.turn(fmt.Sprint("t", n), shortTurn, func(*host) bool { return false })
					time.Sleep(thinkTime)
				}
				r := c.turn("long", longTurn, func(h *host) bool {
					<-struck
					return h == lost
				})
				mu.Lock()
				long = append(long, r)
				mu.Unlock()
				<-struck
				// A session of its own for each new stream.
				for n := range 3 {
					d := *c
					d.name, d.session = fmt.Sprintf("%s-new-%d", c.name, n), fmt.Sprintf("%x", 1<<50+round<<24+i<<8+n)
					h := f.entry(d.name, d.zone, 1)
					a := d.once(h)
					mu.Lock()
					if h != lost {
						asked++
						if eventPattern.MatchString(a.body) {
							begun++
						}
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Duration(turns)*(6*versionPiece+thinkTime+20*time.Millisecond) + strikeAfter)
		lost, err = strike()
		if err != nil {
			return nil, 0, err
		}
		close(struck)
		playing.Wait()
		if lost != nil {
			time.Sleep(contactTime)
		}
	}
	return long, float64(begun) / float64(max(asked, 1)), nil
}

// once begins a new stream, without another try.
func (c *sessionClient) once(h *host) attempt {
	return c.fleet.send(h, http.MethodPost, shortTurn, c.name, "text of "+c.name, streamLimit, http.Header{
		"X-Yuccadoor-Model": {"m"}, "X-Yuccadoor-Token-Usage": {"1200,30"}, "X-Yuccadoor-Prefix-Hash": {c.shared + ":60," + c.session + ":1140"},
	})
}

// summarize adds the long streams to the record and returns how many were taken up again and
// went on, and those that two versions wrote.
func summarize(f *fleet, long []streamResult) (takenUp, wentOn int, mixed []string) {
	for _, r := range long {
		if r.takenUp {
			takenUp++
		}
		if r.wentOn {
			wentOn++
		}
		f.note("stream of %s: %d tries, %d events by %s, whole %v, taken up %v, went on %v", r.client, len(r.attempts), r.events, strings.Join(r.versions, "+"), r.whole, r.takenUp, r.wentOn)
		if len(r.versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("the stream of %s holds events of %s", r.client, strings.Join(r.versions, " and ")))
		}
	}
	f.note("%d long streams, %d taken up again at hosts in touch, %d of them went on, %d of two versions", len(long), takenUp, wentOn, len(mixed))
	return takenUp, wentOn, mixed
}

// playLeaderKill kills the host that leads.
func playLeaderKill(f *fleet, trouble bool) ([]string, error) {
	zones, _, err := versionFleet(f)
	if err != nil {
		return nil, err
	}
	long, began, err := playSessions(f, func() ([]string, error) { return slices.Repeat(zones, zoneClients), nil }, 4, func() (*host, error) {
		if !trouble {
			return nil, nil
		}
		h, err := f.leader()
		if err != nil {
			return nil, err
		}
		f.restart(h)
		return h, nil
	})
	if err != nil {
		return nil, err
	}
	takenUp, wentOn, _ := summarize(f, long)
	f.note("share of new streams that began after the kills at hosts in touch: %.2f", began)
	if takenUp >= 12 && float64(wentOn)/float64(takenUp) < began/2 {
		return []string{fmt.Sprintf("%d of %d streams that were taken up again went on, and %.2f of the new streams began", wentOn, takenUp, began)}, nil
	}
	return nil, nil
}

// playZoneLoss takes the power from the zone of the host that leads.
func playZoneLoss(f *fleet, trouble bool) ([]string, error) {
	zones, servers, err := versionFleet(f)
	if err != nil {
		return nil, err
	}
	clientZones := func() ([]string, error) {
		h, err := f.leader()
		if err != nil {
			return nil, err
		}
		all := slices.Repeat(zones, calmClients)
		return append(all, slices.Repeat([]string{h.zone}, busyClients-calmClients)...), nil
	}
	long, _, err := playSessions(f, clientZones, 3, func() (*host, error) {
		if !trouble {
			return nil, nil
		}
		h, err := f.leader()
		if err != nil {
			return nil, err
		}
		f.note("zone %s is lost", h.zone)
		for i, s := range servers {
			if s.spec.Zone != h.zone {
				continue
			}
			f.crash(s)
			time.AfterFunc(downtime, func() {
				if next, err := f.startServer(s.spec); err == nil {
					servers[i] = next
				}
			})
		}
		f.restart(h)
		return h, nil
	})
	if err != nil {
		return nil, err
	}
	if _, _, mixed := summarize(f, long); len(mixed) > 2 {
		return mixed, nil
	}
	return nil, nil
}
