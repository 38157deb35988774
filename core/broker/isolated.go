package broker

import "net/netip"

// isolationTargets is the number of targets that a host failed to connect to, without an
// answer of any target in between, from which the host counts as cut off: then its failures
// say nothing of the targets.
const isolationTargets = 3

// unreached holds, by host, the targets that it failed to connect to since a target last
// answered it.
type unreached map[netip.AddrPort]map[string]bool

// record records how a request of a host at a target ended.
func (u unreached) record(host netip.AddrPort, target string, o Outcome) {
	switch o {
	case NoConnect:
		if u[host] == nil {
			u[host] = map[string]bool{}
		}
		u[host][target] = true
	case Good, Failed, Rejected:
		delete(u, host)
	}
}

// isolated reports whether a host is cut off from targets.
func (u unreached) isolated(host netip.AddrPort) bool { return len(u[host]) >= isolationTargets }
