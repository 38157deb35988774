// Package model holds the value types that the decision packages share:
// hosts, targets, requests, outcomes and the published lists.
package model

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Tier orders requests by urgency. Zero is the most urgent.
type Tier uint8

// Revision numbers the texts that the platform publishes. A higher revision
// replaces a lower one; the reverse never happens.
type Revision uint64

// RequestID numbers a request within one incarnation of one host.
type RequestID uint64

// Fingerprint identifies the content of a request, whoever sends it.
type Fingerprint uint64

// String gives a fingerprint as logs name it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Incarnation tells two runs of a process at the same address apart.
type Incarnation uint64

// State is what the platform publishes of a machine.
type State string

// The published states of hosts and targets.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Host is one entry host as the platform publishes it.
type Host struct {
	Peer  netip.AddrPort // where its peers reach it
	Front netip.AddrPort // where callers reach it
	Zone  string         // availability zone
	State State
}

// Target is one back end as the platform publishes it.
type Target struct {
	Address netip.AddrPort
	Service string
	Zone    string // availability zone
	State   State
}

// HostList is the platform's list of hosts and targets. It lags behind the
// truth; Revision orders its versions.
type HostList struct {
	Revision Revision
	Hosts    []Host
	Targets  []Target
}

// HostByPeer returns the listed host whose peers' address is given.
func (l *HostList) HostByPeer(peer netip.AddrPort) (Host, bool) {
	i := slices.IndexFunc(l.Hosts, func(h Host) bool { return h.Peer == peer })
	if i < 0 {
		return Host{}, false
	}
	return l.Hosts[i], true
}

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID           RequestID
	Service      string
	Workspace    string
	Tier         Tier
	Arrived      time.Time
	Deadline     time.Time // latest useful start of the answer
	LatestStart  time.Time // latest start that can meet the objective; zero for none
	PromptTokens int       // estimate
	Prefix       []uint64  // chained hashes of the prompt's leading blocks
	Fingerprint  Fingerprint
}

// Execution says what is known about whether a request reached a target.
type Execution string

// A refusal says NotRun only when no byte of the request can have reached a
// target.
const (
	NotRun     Execution = "NotRun"
	MayHaveRun Execution = "MayHaveRun"
)

// Reason names why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonShed        Reason = "Shed"           // displaced or turned away for load
	ReasonExpired     Reason = "Expired"        // its deadline passed while it waited
	ReasonNoTarget    Reason = "NoTarget"       // no target may take work
	ReasonCrashes     Reason = "CrashesTargets" // its content has crashed targets
	ReasonStopping    Reason = "Stopping"       // this host is shutting down
	ReasonFailed      Reason = "TargetFailed"   // the target broke off or fell silent
	ReasonKeyUsed     Reason = "KeyUsed"        // its key was seen before
	ReasonKeyUnknown  Reason = "KeyUnknown"     // whether its key was used cannot be known
	ReasonUnreachable Reason = "HomeUnreachable"
	ReasonInvalid     Reason = "Invalid"
	ReasonDenied      Reason = "Denied"
	ReasonNotReady    Reason = "NotReady"
	ReasonCancelled   Reason = "Cancelled" // the caller went away
)

// Refusal is the final answer to a request that gets no other.
type Refusal struct {
	Ran        Execution
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // when to come back; zero when coming back is no use
}

// Error makes a refusal usable as an error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s): %s", r.Reason, r.Ran, r.Detail)
}
