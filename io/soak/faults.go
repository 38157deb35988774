package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"yuccadoor/platform/stand"
)

// Times of faults.
const (
	faultLeast = 200 * time.Millisecond
	faultMost  = 2500 * time.Millisecond
	gapMost    = 1200 * time.Millisecond
	// leaveBound is within which a leaving server or zone must get nothing more
	// from hosts that could hear of it.
	leaveBound = 2 * time.Second
	// touch is how long after a fault hosts may still act on what they knew.
	touch = 3 * time.Second
	// leaveLength is how long a server or zone stays away when that is checked.
	leaveLength = leaveBound + 2*time.Second
	// coldLength is how long a server is cold that has come back.
	coldLength = 3 * time.Second
	// aloneShare is one in so many faults that is played without any other.
	aloneShare = 8
)

// fault is one kind of fault; it returns what undoes it.
type fault struct {
	name string
	do   func(r *run, n int) (undo func())
}

// played reports whether a kind of fault may come in this run.
func (r *run) played(name string) bool {
	return len(r.settings.Only) == 0 || slices.Contains(r.settings.Only, name)
}

// kinds are the faults that may come at random in this run.
func (r *run) kinds() []fault {
	return slices.DeleteFunc(faultKinds(), func(k fault) bool { return !r.played(k.name) })
}

// leaving is the name of the fault of servers that leave while nothing else is
// wrong.
const leaving = "servers leave, alone"

// playAlone plays a fault that must have no other beside it.
func (r *run) playAlone() {
	alone := []fault{
		{leaving, func(r *run, _ int) func() { r.leaveAlone(); return nil }},
		{speaking, func(r *run, _ int) func() { r.speakAlone(); return nil }},
		{crashing, func(r *run, _ int) func() { r.crashAlone(); return nil }},
	}
	if some := slices.DeleteFunc(slices.Clone(alone), func(k fault) bool { return !r.played(k.name) }); len(some) > 0 {
		alone = some
	}
	alone[r.random.IntN(len(alone))].do(r, 0)
}

func faultKinds() []fault {
	return []fault{
		{"host killed", (*run).killHost},
		{"host stopped gracefully", (*run).stopHost},
		{"host paused", (*run).pauseHost},
		{"settings reloaded", (*run).hangUp},
		{"store fails for all", (*run).failStore},
		{"store turns one host away", (*run).failStoreForOne},
		{"store forgets its history", (*run).forget},
		{"servers misbehave", (*run).misbehave},
		{"server leaves and comes back cold", (*run).leave},
		{"zone taken out", (*run).takeOut},
		{"server turns cold", (*run).cool},
		{"keys changed", (*run).changeKeys},
		{"zones cannot reach each other", (*run).cutZones},
		{"host hears no other host", (*run).cutInto},
		{"connections to a host reset", (*run).resetInto},
		{"slow links between hosts", (*run).slowLinks},
		{"host reads the store over a silent link", (*run).silenceStore},
	}
}

// faults injects faults at random, several at a time, until the run's length is
// over, and undoes them all.
func (r *run) faults(ctx context.Context) {
	kinds := r.kinds()
	end := time.Now().Add(r.settings.Length)
	done := make(chan struct{}, 64)
	under := 0
	finish := func() {
		for ; under > 0; under-- {
			<-done
		}
	}
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if n%aloneShare == 0 || len(kinds) == 0 {
			finish()
			r.playAlone()
			continue
		}
		k := kinds[r.random.IntN(len(kinds))]
		n := r.random.IntN(1 << 16)
		lasts := faultLeast + time.Duration(r.random.Int64N(int64(faultMost-faultLeast)))
		r.note("%6.2f s %s for %s", time.Since(r.start).Seconds(), k.name, lasts.Round(time.Millisecond))
		undo := k.do(r, n)
		under++
		go func() {
			time.Sleep(lasts)
			if undo != nil {
				undo()
			}
			done <- struct{}{}
		}()
		time.Sleep(time.Duration(r.random.Int64N(int64(gapMost))))
	}
	finish()
	r.mu.Lock()
	r.calm = time.Now()
	r.mu.Unlock()
}

func (r *run) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, text)
	if r.settings.Out != nil {
		fmt.Fprintln(r.settings.Out, text)
	}
}

func (r *run) host(n int) *process { return r.hosts[n%len(r.hosts)] }

func (r *run) again(p *process) {
	if err := p.start(); err != nil {
		r.finding("%s does not start again: %v", p.node.Name, err)
	}
}

func (r *run) killHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await(time.Second)
	return func() { r.again(p) }
}

func (r *run) stopHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	ended := p.current()
	return func() {
		select {
		case <-ended:
		case <-time.After(grace):
			r.finding("%s runs on %s after the order to stop", p.node.Name, grace)
			p.end()
		}
		r.again(p)
	}
}

func (r *run) pauseHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

func (r *run) hangUp(n int) func() {
	r.host(n).signal(syscall.SIGHUP)
	return nil
}

var troubles = []stand.StoreFault{stand.Unavailable, stand.TooManyRequests, stand.Unresponsive, stand.ConnectionReset, stand.Slow}

func (r *run) failStore(n int) func() {
	r.store.InjectFault(netip.Addr{}, troubles[n%len(troubles)])
	return func() { r.store.InjectFault(netip.Addr{}, stand.Healthy) }
}

func (r *run) failStoreForOne(n int) func() {
	at := r.host(n / 8).node.Front.Addr()
	r.store.InjectFault(at, troubles[n%len(troubles)])
	return func() { r.store.InjectFault(at, stand.Healthy) }
}

func (r *run) forget(int) func() {
	r.store.SuppressEvents(true)
	return func() {
		r.store.CompactHistory()
		r.store.SuppressEvents(false)
	}
}

var misdeeds = []stand.Fault{
	stand.Error, stand.Full, stand.Paused, stand.Unstamped, stand.WrongEncoding, stand.Broken, stand.LostResponse, stand.ExtraResponse,
	stand.AmbiguousUnavailable, stand.PartialEvent, stand.UnframedPartialEvent, stand.Truncated, stand.Unframed, stand.Delayed,
}

// misbehave makes half of the servers fail one request in three.
func (r *run) misbehave(n int) func() {
	f := misdeeds[n%len(misdeeds)]
	for i, s := range r.servers {
		if i%2 == n%2 {
			served := 0
			s.InjectFaults(func(*http.Request) stand.Fault {
				if served++; served%3 == 0 {
					return f
				}
				return stand.None
			})
		}
	}
	return func() {
		for _, s := range r.servers {
			s.InjectFaults(nil)
		}
	}
}

// leave lets a server drain, and come back later, cold.
func (r *run) leave(n int) func() {
	s := r.servers[n%len(r.servers)]
	s.Drain(r.store)
	return func() {
		s.SetCold(coldLength)
		s.Register(r.store)
	}
}

func (r *run) takeOut(n int) func() {
	z := zone(n)
	r.store.SetZoneEvacuated(z, r.settings.Tamper != "Left")
	return func() { r.store.SetZoneEvacuated(z, false) }
}

// leaveAlone lets a server, or all of a zone, leave while nothing else is wrong,
// and notes it: whoever could hear of it must send nothing more there.
func (r *run) leaveAlone() {
	time.Sleep(touch)
	n := r.random.IntN(1 << 16)
	z, whole := zone(n), n%4 < 2
	left := r.servers[n%len(r.servers) : n%len(r.servers)+1]
	undo := r.leave
	if whole {
		left = slices.DeleteFunc(slices.Clone(r.servers), func(s *stand.Server) bool { return s.Zone != z })
		undo = r.takeOut
	}
	r.note("%6.2f s %s: %d", time.Since(r.start).Seconds(), leaving, len(left))
	back := undo(n)
	from := time.Now()
	time.Sleep(leaveLength)
	r.mu.Lock()
	for _, s := range left {
		r.marks = append(r.marks, mark{s.ID, stand.Span{From: from, To: time.Now()}})
	}
	r.mu.Unlock()
	back()
}

// speaking is the name of the fault of a server that leaves and says so in its
// answers only, while a host is killed and comes back.
const speaking = "server says that it leaves, alone"

// speakAlone lets the server that lately got the most say in its answers that it
// leaves, and notes it as leaveAlone does, from its first such answer on.
func (r *run) speakAlone() {
	time.Sleep(touch)
	s := r.busiest(time.Now().Add(-touch))
	r.note("%6.2f s %s: %s", time.Since(r.start).Seconds(), speaking, s.ID)
	before := len(s.Arrivals())
	if s.Tamper != "Left" {
		s.SetHeaderHook(stand.AnnounceLeaving)
	}
	for end := time.Now().Add(touch); len(s.Arrivals()) == before; {
		if time.Now().After(end) {
			s.SetHeaderHook(nil) // nobody was told
			return
		}
		time.Sleep(time.Millisecond)
	}
	from := time.Now()
	back := r.killHost(r.random.IntN(1 << 16))
	time.Sleep(hostComeBack)
	back()
	time.Sleep(leaveLength)
	r.mu.Lock()
	r.marks = append(r.marks, mark{s.ID, stand.Span{From: from, To: time.Now()}})
	r.mu.Unlock()
	s.Restart()
	s.Register(r.store)
}

// busiest is the server that has got the most requests since a time.
func (r *run) busiest(since time.Time) *stand.Server {
	got := func(s *stand.Server) int {
		return len(slices.DeleteFunc(s.Arrivals(), func(a stand.Arrival) bool { return a.At.Before(since) }))
	}
	return slices.MaxFunc(r.servers, func(a, b *stand.Server) int { return cmp.Compare(got(a), got(b)) })
}

// cool turns an engine cold; plain servers have no bound for it.
func (r *run) cool(n int) func() {
	engines := slices.DeleteFunc(slices.Clone(r.servers), func(s *stand.Server) bool { return s.Service != "engine" })
	s := engines[n%len(engines)]
	s.SetCold(coldLength)
	s.Register(r.store)
	return nil
}

// cutZones silences all links between the zones, in both directions.
func (r *run) cutZones(int) func() {
	set := func(w way) {
		for i, p := range r.into {
			for j, h := range r.hosts {
				if zone(i) != zone(j) {
					p.set(h.node.Front.Addr(), w)
				}
			}
		}
	}
	set(silent)
	return func() { set(sound) }
}

// cutInto silences one direction: the host is heard by others but hears none.
func (r *run) cutInto(n int) func() {
	p := r.into[n%len(r.into)]
	p.set(netip.Addr{}, silent)
	return func() { p.set(netip.Addr{}, sound) }
}

func (r *run) resetInto(n int) func() {
	r.into[n%len(r.into)].breakAll(netip.Addr{})
	return nil
}

func (r *run) slowLinks(int) func() {
	for _, p := range r.into {
		p.set(netip.Addr{}, slow)
	}
	return func() {
		for _, p := range r.into {
			p.set(netip.Addr{}, sound)
		}
	}
}

func (r *run) silenceStore(n int) func() {
	p := r.reading[n%len(r.reading)]
	p.set(netip.Addr{}, silent)
	return func() { p.set(netip.Addr{}, sound) }
}

// changeKeys publishes a version with a further key; callers use it at once.
func (r *run) changeKeys(int) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deploy.Version++
	r.deploy.Keys = append(r.deploy.Keys, fmt.Sprint("key-", r.deploy.Version))
	r.deploy.Publish(r.store)
	return nil
}
