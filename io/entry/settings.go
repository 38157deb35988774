// Package entry assembles an entry host from its services: logging, metrics, the
// pollers of the platform, the mesh to peers, the event loop that decides on
// requests, the sender of requests to targets, and the listeners for callers and
// operators. Package edge is the counterpart for deployments with operators' routes.
package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"yuccadoor/core/find"
	"yuccadoor/core/intake"
	"yuccadoor/core/route"
	"yuccadoor/io/accept"
)

// Settings are the bootstrap settings of an entry host. Each can be given as a
// flag or as an environment variable. Addresses are an IP address and a port.
type Settings struct {
	Front      string        `help:"Address on which callers are served." default:"127.0.0.1:8080" env:"YUCCADOOR_FRONT"`
	Peer       string        `help:"Address on which peers are served; also this host's name among them." default:"127.0.0.1:8081" env:"YUCCADOOR_PEER"`
	Admin      string        `help:"Address on which operators are served." default:"127.0.0.1:8082" env:"YUCCADOOR_ADMIN"`
	Zone       string        `help:"Availability zone of this host." default:"a" env:"YUCCADOOR_ZONE"`
	Config     string        `help:"Address of the platform's configuration service." default:"127.0.0.1:8090" env:"YUCCADOOR_CONFIG"`
	Hosts      string        `help:"Address of the platform's host list." default:"127.0.0.1:8090" env:"YUCCADOOR_HOSTS"`
	Policy     string        `help:"Routing policy: affinity, round-robin, least-outstanding or two-choices." default:"affinity" env:"YUCCADOOR_POLICY"`
	LogLevel   string        `help:"Least level of log lines: debug, info, warn or error." default:"info" env:"YUCCADOOR_LOG_LEVEL"`
	MaxWaiting int           `help:"Requests that may wait on this host." default:"10000" env:"YUCCADOOR_MAX_WAITING"`
	MaxConns   int           `help:"Callers' connections open at once." default:"20000" env:"YUCCADOOR_MAX_CONNS"`
	MemoryMB   int           `help:"Memory of the machine in MB; bodies, heads and connections take fixed parts of it (docs/CAPACITY.md)." default:"4096" env:"YUCCADOOR_MEMORY_MB"`
	Notice     time.Duration `help:"How long a stopping host, not ready any more, still serves what arrives: until the balancer has noticed." default:"3s" env:"YUCCADOOR_NOTICE"`
	Grace      time.Duration `help:"Longest time that a graceful stop waits for running requests." default:"2m" env:"YUCCADOOR_GRACE"`
}

// parsedSettings holds validated settings with parsed addresses and policy.
type parsedSettings struct {
	Settings
	front, peer, admin, config, hosts netip.AddrPort
	policy                            route.Policy
}

// Upper limits of MaxWaiting and MaxConns.
const (
	maxWaitingLimit = 1_000_000
	maxConnsLimit   = 1_000_000
	maxMemoryMB     = 1 << 20
)

// parse validates and parses the settings. The error contains all findings.
func (s Settings) parse() (parsedSettings, error) {
	c := parsedSettings{Settings: s}
	var list find.List
	addresses := []struct {
		name string
		text string
		dest *netip.AddrPort
	}{
		{"Front", s.Front, &c.front},
		{"Peer", s.Peer, &c.peer},
		{"Admin", s.Admin, &c.admin},
		{"Config", s.Config, &c.config},
		{"Hosts", s.Hosts, &c.hosts},
	}
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a.text)
		if err != nil {
			list.Add(find.Position{Name: a.name}, "%q is not an IP address with a port; host names are not resolved", a.text)
		}
		*a.dest = parsed
	}
	if c.peer.IsValid() && c.peer.Addr().IsUnspecified() {
		list.Add(find.Position{Name: "Peer"}, "peers cannot connect to the unspecified address %s", s.Peer)
	}
	if s.Zone == "" {
		list.Add(find.Position{Name: "Zone"}, "an availability zone is required")
	}
	policy, ok := route.PolicyByName(s.Policy)
	if !ok {
		list.Add(find.Position{Name: "Policy"}, "%q is not one of %s", s.Policy, strings.Join(route.PolicyNames(), ", "))
	}
	c.policy = policy
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.LogLevel) {
		list.Add(find.Position{Name: "LogLevel"}, "%q is not one of %s", s.LogLevel, strings.Join(levels, ", "))
	}
	list = append(list, checkRange("MaxWaiting", s.MaxWaiting, maxWaitingLimit)...)
	list = append(list, checkRange("MaxConns", s.MaxConns, maxConnsLimit)...)
	if s.MemoryMB < 0 || s.MemoryMB > maxMemoryMB {
		list.Add(find.Position{Name: "MemoryMB"}, "%d is not between 0 and %d", s.MemoryMB, maxMemoryMB)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"Notice", s.Notice}, {"Grace", s.Grace}} {
		if d.value < 0 {
			list.Add(find.Position{Name: d.name}, "%s is negative", d.value)
		}
	}
	return c, list.Err()
}

// memoryBytes returns the machine's memory; 0 if it is not stated.
func (c parsedSettings) memoryBytes() int64 { return int64(c.MemoryMB) << 20 }

// limits returns the bounds of what the host holds for callers.
func (c parsedSettings) limits() intake.Limits {
	l := intake.LimitsFor(c.memoryBytes(), accept.MaxDescriptors(0))
	if c.MaxConns > 0 && c.MaxConns < l.Conns {
		l.SetConns(c.memoryBytes(), c.MaxConns)
	}
	return l
}

// checkRange returns a finding if n is not between 1 and limit.
func checkRange(name string, n, limit int) find.List {
	if n >= 1 && n <= limit {
		return nil
	}
	return find.List{{Position: find.Position{Name: name}, Message: fmt.Sprintf("%d is not between 1 and %d", n, limit)}}
}
