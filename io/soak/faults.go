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

// Durations and frequencies of faults.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	maxFaultGap      = 1200 * time.Millisecond // between the starts of two faults
	// leaveDeadline is how soon hosts must stop sending to a server or zone that
	// leaves, if they were able to learn of it.
	leaveDeadline = 2 * time.Second
	// settleTime is how long after a fault hosts may still act on stale state.
	settleTime = 3 * time.Second
	// leaveDuration is how long a server or zone stays away when a fault checks
	// leaveDeadline.
	leaveDuration = leaveDeadline + 2*time.Second
	// coldDuration is how long a server is cold after it has come back.
	coldDuration = 3 * time.Second
	// exclusiveEvery makes one fault in this many an exclusive one, which runs while
	// no other fault is active.
	exclusiveEvery = 8
)

// fault is a kind of fault.
type fault struct {
	name string
	// inject starts the fault and returns the function that ends it, or nil if
	// there is nothing to end. The random number n selects the host, server or
	// variant.
	inject func(r *run, n int) (undo func())
}

// enabled reports whether the settings include a kind of fault.
func (r *run) enabled(name string) bool {
	return len(r.settings.Only) == 0 || slices.Contains(r.settings.Only, name)
}

// enabledFaults returns the enabled kinds of fault that may overlap.
func (r *run) enabledFaults() []fault {
	return slices.DeleteFunc(overlappingFaults(), func(f fault) bool { return !r.enabled(f.name) })
}

// faultServersLeave is the name of the exclusive fault leaveExclusively.
const faultServersLeave = "servers leave, alone"

// injectExclusiveFault runs a random exclusive fault to its end. If the settings
// include none of them, it chooses from all.
func (r *run) injectExclusiveFault() {
	faults := []fault{
		{faultServersLeave, func(r *run, _ int) func() { r.leaveExclusively(); return nil }},
		{faultDepartureLost, func(r *run, _ int) func() { r.loseDeparture(); return nil }},
		{faultServerAnnounces, func(r *run, _ int) func() { r.announceLeaving(); return nil }},
		{faultRequestCrashes, func(r *run, _ int) func() { r.crashServers(); return nil }},
		{faultPartCrashes, func(r *run, _ int) func() { r.crashServersByPart(); return nil }},
		{faultServerLimit, func(r *run, _ int) func() { r.limitServer(); return nil }},
	}
	if enabled := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !r.enabled(f.name) }); len(enabled) > 0 {
		faults = enabled
	}
	faults[r.random.IntN(len(faults))].inject(r, 0)
}

// overlappingFaults returns all kinds of fault of which several may be active at
// the same time.
func overlappingFaults() []fault {
	return []fault{
		{"host killed", (*run).killHost},
		{"host stopped gracefully", (*run).stopHost},
		{"host paused", (*run).pauseHost},
		{"settings reloaded", (*run).reloadSettings},
		{"store fails for all", (*run).failStore},
		{"store turns one host away", (*run).failStoreForOne},
		{"store forgets its history", (*run).compactStore},
		{faultStoreRestored, (*run).restoreStore},
		{"servers misbehave", (*run).failServers},
		{faultStreamsBreak, (*run).breakStreams},
		{"server leaves and comes back cold", (*run).drainServer},
		{"zone taken out", (*run).evacuateZone},
		{"server turns cold", (*run).makeEngineCold},
		{"keys changed", (*run).changeKeys},
		{"zones cannot reach each other", (*run).partitionZones},
		{"host hears no other host", (*run).dropInbound},
		{"connections to a host reset", (*run).resetInbound},
		{"slow links between hosts", (*run).slowLinks},
		{"host reads the store over a silent link", (*run).dropStoreLink},
		{faultUnframed, (*run).failUnframed},
	}
}

// injectFaults injects random faults, several at a time, for the duration in the
// settings, and waits until all of them have ended.
func (r *run) injectFaults(ctx context.Context) {
	kinds := r.enabledFaults()
	end := time.Now().Add(r.settings.Length)
	done := make(chan struct{}, 64)
	active := 0
	waitAll := func() {
		for ; active > 0; active-- {
			<-done
		}
	}
	for n := 1; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if n%exclusiveEvery == 0 || len(kinds) == 0 {
			waitAll()
			r.injectExclusiveFault()
			continue
		}
		f := kinds[r.random.IntN(len(kinds))]
		n := r.random.IntN(1 << 16)
		duration := minFaultDuration + time.Duration(r.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		r.logFault("%6.2f s %s for %s", time.Since(r.start).Seconds(), f.name, duration.Round(time.Millisecond))
		undo := f.inject(r, n)
		active++
		go func() {
			time.Sleep(duration)
			if undo != nil {
				undo()
			}
			done <- struct{}{}
		}()
		time.Sleep(time.Duration(r.random.Int64N(int64(maxFaultGap))))
	}
	waitAll()
	r.mu.Lock()
	r.faultsEnded = time.Now()
	r.mu.Unlock()
}

// logFault adds a line to the report's list of faults and prints it.
func (r *run) logFault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Faults = append(r.report.Faults, text)
	if r.settings.Out != nil {
		fmt.Fprintln(r.settings.Out, text)
	}
}

func (r *run) host(n int) *process { return r.hosts[n%len(r.hosts)] }

func (r *run) restart(p *process) {
	if err := p.start(); err != nil {
		r.addFinding("%s does not restart: %v", p.node.Name, err)
	}
}

func (r *run) killHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.waitExit(time.Second)
	return func() { r.restart(p) }
}

func (r *run) stopHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	exited := p.exitedChan()
	return func() {
		select {
		case <-exited:
		case <-time.After(shutdownGrace):
			r.addFinding("%s is still running %s after SIGTERM", p.node.Name, shutdownGrace)
			p.kill()
		}
		r.restart(p)
	}
}

func (r *run) pauseHost(n int) func() {
	p := r.host(n)
	p.signal(syscall.SIGSTOP)
	return func() { p.signal(syscall.SIGCONT) }
}

func (r *run) reloadSettings(n int) func() {
	r.host(n).signal(syscall.SIGHUP)
	return nil
}

var storeFaults = []stand.StoreFault{stand.Unavailable, stand.TooManyRequests, stand.Unresponsive, stand.ConnectionReset, stand.Slow}

func (r *run) failStore(n int) func() {
	r.store.InjectFault(netip.Addr{}, storeFaults[n%len(storeFaults)])
	return func() { r.store.InjectFault(netip.Addr{}, stand.Healthy) }
}

func (r *run) failStoreForOne(n int) func() {
	caller := r.host(n / 8).node.Front.Addr()
	r.store.InjectFault(caller, storeFaults[n%len(storeFaults)])
	return func() { r.store.InjectFault(caller, stand.Healthy) }
}

// compactStore withholds the store's events and then discards its history, so
// that hosts have to list again.
func (r *run) compactStore(int) func() {
	r.store.SuppressEvents(true)
	return func() {
		r.store.CompactHistory()
		r.store.SuppressEvents(false)
	}
}

var serverFaults = []stand.Fault{
	stand.Error, stand.Full, stand.Paused, stand.Unstamped, stand.WrongEncoding, stand.Broken, stand.LostResponse, stand.ExtraResponse,
	stand.AmbiguousUnavailable, stand.PartialEvent, stand.UnframedPartialEvent, stand.Truncated, stand.Unframed, stand.Delayed,
}

// faultUnframed is the name of the fault failUnframed.
const faultUnframed = "answers without a length are cut or repeated"

// unframedFaults are the ways in which an answer without a length goes wrong although its
// connection ends in order.
var unframedFaults = []stand.Fault{stand.UnframedTwice, stand.UnframedEnd}

// failUnframed makes half of the servers fail one request in three in such a way.
func (r *run) failUnframed(n int) func() {
	return r.failSome(unframedFaults[n%len(unframedFaults)], n/len(unframedFaults)%2)
}

// failServers makes half of the servers fail one request in three.
func (r *run) failServers(n int) func() { return r.failSome(serverFaults[n%len(serverFaults)], n%2) }

// failSome makes every second server, from the first-th on, fail one request in three.
func (r *run) failSome(f stand.Fault, first int) func() {
	for i, s := range r.servers {
		if i%2 == first {
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

// drainServer makes a server drain and registers it again afterwards, cold.
func (r *run) drainServer(n int) func() {
	s := r.servers[n%len(r.servers)]
	s.Drain(r.store)
	return func() {
		s.SetCold(coldDuration)
		s.Register(r.store)
	}
}

func (r *run) evacuateZone(n int) func() {
	z := zone(n)
	r.store.SetZoneEvacuated(z, r.settings.Tamper != "Left")
	return func() { r.store.SetZoneEvacuated(z, false) }
}

// leaveExclusively makes one server, or all servers of a zone, leave while no other
// fault is active, and records the departures: hosts that were able to learn of
// them must send nothing more there.
func (r *run) leaveExclusively() {
	time.Sleep(settleTime)
	n := r.random.IntN(1 << 16)
	z, wholeZone := zone(n), n%4 < 2
	leaving := r.servers[n%len(r.servers) : n%len(r.servers)+1]
	leave := r.drainServer
	if wholeZone {
		leaving = slices.DeleteFunc(slices.Clone(r.servers), func(s *stand.Server) bool { return s.Zone != z })
		leave = r.evacuateZone
	}
	r.logFault("%6.2f s %s: %d", time.Since(r.start).Seconds(), faultServersLeave, len(leaving))
	undo := leave(n)
	from := time.Now()
	time.Sleep(leaveDuration)
	r.mu.Lock()
	for _, s := range leaving {
		r.departures = append(r.departures, departure{s.ID, stand.Span{From: from, To: time.Now()}})
	}
	r.mu.Unlock()
	undo()
}

// faultServerAnnounces is the name of the exclusive fault announceLeaving.
const faultServerAnnounces = "server says that it leaves, alone"

// announceLeaving makes the server with the most recent requests announce only in
// its responses that it is leaving, while one host is killed and restarted. Like
// leaveExclusively it records the departure, which begins with the first such
// response.
func (r *run) announceLeaving() {
	time.Sleep(settleTime)
	s := r.busiestServer(time.Now().Add(-settleTime))
	r.logFault("%6.2f s %s: %s", time.Since(r.start).Seconds(), faultServerAnnounces, s.ID)
	before := len(s.Arrivals())
	if s.Tamper != "Left" {
		s.SetHeaderHook(stand.AnnounceLeaving)
	} else {
		// Nothing is announced. The other servers of the service are removed, so that
		// requests must be sent to this one and the check has arrivals to detect.
		defer r.removeOthers(s)()
	}
	for end := time.Now().Add(settleTime); len(s.Arrivals()) == before; {
		if time.Now().After(end) {
			s.SetHeaderHook(nil) // no request arrived, so no host received the announcement
			return
		}
		time.Sleep(time.Millisecond)
	}
	from := time.Now()
	restart := r.killHost(r.random.IntN(1 << 16))
	time.Sleep(hostDowntime)
	restart()
	time.Sleep(leaveDuration)
	r.mu.Lock()
	r.departures = append(r.departures, departure{s.ID, stand.Span{From: from, To: time.Now()}})
	r.mu.Unlock()
	s.Restart()
	s.Register(r.store)
}

// removeOthers deletes the entries of the other servers of a server's service, and
// returns the function that restores them.
func (r *run) removeOthers(s *stand.Server) func() {
	others := slices.DeleteFunc(slices.Clone(r.servers), func(o *stand.Server) bool { return o == s || o.Service != s.Service })
	for _, o := range others {
		o.Unregister(r.store)
	}
	return func() {
		for _, o := range others {
			o.Register(r.store)
		}
	}
}

// busiestServer returns the server that has received the most requests since a time.
func (r *run) busiestServer(since time.Time) *stand.Server {
	received := func(s *stand.Server) int {
		return len(slices.DeleteFunc(s.Arrivals(), func(a stand.Arrival) bool { return a.At.Before(since) }))
	}
	return slices.MaxFunc(r.servers, func(a, b *stand.Server) int { return cmp.Compare(received(a), received(b)) })
}

// makeEngineCold makes an engine cold. Plain servers have no rate limit while cold.
func (r *run) makeEngineCold(n int) func() {
	engines := slices.DeleteFunc(slices.Clone(r.servers), func(s *stand.Server) bool { return s.Service != "engine" })
	s := engines[n%len(engines)]
	s.SetCold(coldDuration)
	s.Register(r.store)
	return nil
}

// partitionZones drops all traffic between the hosts of different zones, in both
// directions.
func (r *run) partitionZones(int) func() {
	set := func(m linkMode) {
		for i, p := range r.peerProxies {
			for j, h := range r.hosts {
				if zone(i) != zone(j) {
					p.setMode(h.node.Front.Addr(), m)
				}
			}
		}
	}
	set(linkDrop)
	return func() { set(linkHealthy) }
}

// dropInbound drops the traffic on connections from other hosts to one host, which
// still reaches others over the connections that it opens.
func (r *run) dropInbound(n int) func() {
	p := r.peerProxies[n%len(r.peerProxies)]
	p.setMode(netip.Addr{}, linkDrop)
	return func() { p.setMode(netip.Addr{}, linkHealthy) }
}

func (r *run) resetInbound(n int) func() {
	r.peerProxies[n%len(r.peerProxies)].resetConns(netip.Addr{})
	return nil
}

func (r *run) slowLinks(int) func() {
	for _, p := range r.peerProxies {
		p.setMode(netip.Addr{}, linkSlow)
	}
	return func() {
		for _, p := range r.peerProxies {
			p.setMode(netip.Addr{}, linkHealthy)
		}
	}
}

func (r *run) dropStoreLink(n int) func() {
	p := r.storeProxies[n%len(r.storeProxies)]
	p.setMode(netip.Addr{}, linkDrop)
	return func() { p.setMode(netip.Addr{}, linkHealthy) }
}

// changeKeys publishes a configuration with an additional key, which callers use
// immediately.
func (r *run) changeKeys(int) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deploy.Version++
	r.deploy.Keys = append(r.deploy.Keys, fmt.Sprint("key-", r.deploy.Version))
	r.deploy.Publish(r.store)
	return nil
}
