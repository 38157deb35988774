// Package entry assembles an entry host from its services: logs, metrics, the
// platform's readers, the peers' mesh, the deciding loop, the senders to
// targets, and the callers' and operators' listeners.
package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"yuccadoor/core/find"
	"yuccadoor/core/route"
)

// Settings are the bootstrap settings of an entry host. Each can be given as a
// flag or as an environment variable; addresses are IP numbers with a port.
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
	Notice     time.Duration `help:"How long a stopping host, not ready any more, still serves what arrives: until the balancer has noticed." default:"3s" env:"YUCCADOOR_NOTICE"`
	Grace      time.Duration `help:"Longest time that a graceful stop waits for running requests." default:"2m" env:"YUCCADOOR_GRACE"`
}

// checked are settings in their own types.
type checked struct {
	Settings
	front, peer, admin, config, hosts netip.AddrPort
	policy                            route.Policy
}

// Bounds of the settings.
const (
	maxWaitingBound = 1_000_000
	maxConnsBound   = 1_000_000
)

// check returns the settings in their own types, or every finding together.
func (s Settings) check() (checked, error) {
	c := checked{Settings: s}
	var list find.List
	addresses := []struct {
		name string
		text string
		into *netip.AddrPort
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
			list.Add(find.Position{Name: a.name}, "%q is not an IP number with a port; host names are not looked up", a.text)
		}
		*a.into = parsed
	}
	if c.peer.IsValid() && c.peer.Addr().IsUnspecified() {
		list.Add(find.Position{Name: "Peer"}, "%s is no address that peers can call", s.Peer)
	}
	if s.Zone == "" {
		list.Add(find.Position{Name: "Zone"}, "an availability zone is needed")
	}
	policy, ok := route.PolicyByName(s.Policy)
	if !ok {
		list.Add(find.Position{Name: "Policy"}, "%q is not one of %s", s.Policy, strings.Join(route.PolicyNames(), ", "))
	}
	c.policy = policy
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.LogLevel) {
		list.Add(find.Position{Name: "LogLevel"}, "%q is not one of %s", s.LogLevel, strings.Join(levels, ", "))
	}
	list = append(list, bounded("MaxWaiting", s.MaxWaiting, maxWaitingBound)...)
	list = append(list, bounded("MaxConns", s.MaxConns, maxConnsBound)...)
	for _, d := range []struct {
		name string
		time time.Duration
	}{{"Notice", s.Notice}, {"Grace", s.Grace}} {
		if d.time < 0 {
			list.Add(find.Position{Name: d.name}, "%s is negative", d.time)
		}
	}
	return c, list.Err()
}

func bounded(name string, n, most int) find.List {
	if n >= 1 && n <= most {
		return nil
	}
	return find.List{{Position: find.Position{Name: name}, Message: fmt.Sprintf("%d is not between 1 and %d", n, most)}}
}
