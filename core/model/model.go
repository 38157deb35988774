// Package model holds the value types that the decision packages share:
// hosts, targets, requests, outcomes and the published lists.
package model

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Tier orders requests by urgency. Zero is the most urgent.
type Tier uint8

// Revision is the version number of a document that the platform publishes. A
// higher revision replaces a lower one, never the reverse.
type Revision uint64

// RequestID identifies a request within one incarnation of one host.
type RequestID uint64

// Fingerprint identifies the content of a request, independent of its sender.
type Fingerprint uint64

// String formats the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// PromptPart identifies a part of prompts that several requests may share.
type PromptPart uint64

// PromptParts are the parts of one prompt, in order.
type PromptParts []PromptPart

// String formats the parts as they appear in logs: in hexadecimal, separated by
// commas.
func (p PromptParts) String() string {
	var text strings.Builder
	for i, part := range p {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%08x", uint64(part))
	}
	return text.String()
}

// Incarnation distinguishes successive processes at the same address.
type Incarnation uint64

// State is the published lifecycle state of a host or target.
type State string

// The published states of hosts and targets.
const (
	Live    State = "Live"
	Leaving State = "Leaving"
)

// Host is the platform's record of one entry host.
type Host struct {
	Peer  netip.AddrPort // address for other hosts
	Front netip.AddrPort // address for clients
	Zone  string         // availability zone
	State State
}

// Target is the platform's record of one backend.
type Target struct {
	Address netip.AddrPort
	Service string
	Zone    string // availability zone
	State   State
}

// HostList is the platform's list of hosts and targets. It lags behind the
// actual state; Revision orders its versions.
type HostList struct {
	Revision Revision
	Hosts    []Host
	Targets  []Target
}

// HostByPeer returns the listed host with the given peer address.
func (l *HostList) HostByPeer(peer netip.AddrPort) (Host, bool) {
	i := slices.IndexFunc(l.Hosts, func(h Host) bool { return h.Peer == peer })
	if i < 0 {
		return Host{}, false
	}
	return l.Hosts[i], true
}

// Request holds the properties of a client request that scheduling needs.
type Request struct {
	ID           RequestID
	Service      string
	Workspace    string
	Tier         Tier
	Arrived      time.Time
	Deadline     time.Time // latest useful time for the response to start
	LatestStart  time.Time // latest start that can still meet the objective; zero if there is none
	PromptTokens int       // estimated
	Prefix       []uint64  // chained hashes of the prompt's leading blocks, one per block
	Fingerprint  Fingerprint
}

// Execution says whether a request may have been executed by a target.
type Execution string

// The execution states. NotRun guarantees that no byte of the request reached a
// target.
const (
	NotRun     Execution = "NotRun"
	MayHaveRun Execution = "MayHaveRun"
)

// Reason is the cause of a refusal.
type Reason string

// The reasons for a refusal.
const (
	ReasonShed            Reason = "Shed"           // displaced or rejected because of load
	ReasonExpired         Reason = "Expired"        // the deadline passed while the request was queued
	ReasonNoTarget        Reason = "NoTarget"       // no target accepts work
	ReasonCrashesTargets  Reason = "CrashesTargets" // the request content has crashed targets
	ReasonStopping        Reason = "Stopping"       // this host is shutting down
	ReasonTargetFailed    Reason = "TargetFailed"   // the target broke the connection or stopped responding
	ReasonKeyUsed         Reason = "KeyUsed"        // the idempotency key was used before
	ReasonKeyUnknown      Reason = "KeyUnknown"     // the use of the idempotency key cannot be determined
	ReasonHomeUnreachable Reason = "HomeUnreachable"
	ReasonInvalid         Reason = "Invalid"
	ReasonDenied          Reason = "Denied"
	ReasonNotReady        Reason = "NotReady"
	ReasonCancelled       Reason = "Cancelled" // the client disconnected
)

// Refusal is the final answer to a request that gets no response from a target.
type Refusal struct {
	Ran        Execution
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // delay before a retry; zero if a retry is pointless
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s (%s): %s", r.Reason, r.Ran, r.Detail)
}
