// Package permit decides who may send to a target. For each target one host,
// its manager, grants permits to the hosts whose requests wait; data then flows
// directly from holder to target. Both sides are pure state machines: events
// and time come in, messages go out.
//
// A holder and a manager talk over one ordered connection each way. Each
// message carries a sequence number, so that a lost one is noticed and repaired
// by a full statement of what the holder holds and asks for.
package permit

import (
	"net/netip"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
)

// Ticket numbers one ask of one holder, and the permit that may come of it.
type Ticket uint64

// Ask requests a permit for one request on one target.
type Ask struct {
	Ticket    Ticket
	Target    netip.AddrPort
	Workspace string
	Tier      model.Tier
	Patience  time.Duration // until the request's deadline
	Useful    time.Duration `json:",omitempty"` // until a start comes too late for the objective; 0 for none
}

// Withdrawal takes an ask back.
type Withdrawal struct {
	Ticket Ticket
	Target netip.AddrPort
}

// Release gives a permit back, with how its request ended.
type Release struct {
	Ticket Ticket
	Target netip.AddrPort
	Result limit.Result
}

// Holding is a permit in a holder's hands.
type Holding struct {
	Ticket    Ticket
	Target    netip.AddrPort
	Workspace string
}

// HandoverState is what a former manager tells its successor of a target.
type HandoverState struct {
	Target      netip.AddrPort
	Slots       int
	Incarnation model.Incarnation // of the target, when it had these slots
}

// Claim is a manager's taking over of a target, numbered among its claims. A
// holder that accepts it says what it holds on the target, and takes permits
// for it from nobody else until it reads a newer list.
type Claim struct {
	Target netip.AddrPort
	Number uint64
}

// FromHolder is a message from a holder to a manager.
type FromHolder struct {
	Incarnation model.Incarnation // of the holder
	Seq         uint64            // counts this holder's messages to this manager
	Sent        time.Duration     // on the holder's own monotonic clock
	Full        bool              `json:",omitempty"` // Asks and Holdings are complete
	Seen        uint64            `json:",omitempty"` // last manager's message that the holder handled
	SeenOf      model.Incarnation `json:",omitempty"` // of the manager that Seen counts
	Asks        []Ask             `json:",omitempty"`
	Withdrawals []Withdrawal      `json:",omitempty"`
	Releases    []Release         `json:",omitempty"`
	Holdings    []Holding         `json:",omitempty"`
	Accepted    []Claim           `json:",omitempty"` // claims that this holder accepts
	Known       []HandoverState   `json:",omitempty"`
}

// Grant is a permit to send one request to one target.
type Grant struct {
	Ticket Ticket
	Target netip.AddrPort
}

// Status is why a manager does not keep an ask. One that it keeps gets no reply
// before its grant.
type Status string

// The reasons for not keeping an ask.
const (
	NotManager Status = "NotManager" // another host manages the target
	Unusable   Status = "Unusable"   // the target takes no new work
	QueueFull  Status = "Full"       // too many asks wait for the target
)

// Notice is the status of one ask.
type Notice struct {
	Ticket Ticket
	Target netip.AddrPort
	Status Status
}

// FromManager is a message from a manager to a holder.
type FromManager struct {
	Incarnation model.Incarnation // of the manager
	Fence       model.Revision    // of the list on which the manager acts
	Seq         uint64            // counts this manager's messages to this holder
	Echo        time.Duration     // the newest Sent that the manager has handled
	Resync      bool              `json:",omitempty"` // asks for a full statement
	Claims      []Claim           `json:",omitempty"` // targets that the manager takes over
	Grants      []Grant           `json:",omitempty"`
	Notices     []Notice          `json:",omitempty"`
}

// ToManager is a message with its destination.
type ToManager struct {
	Manager netip.AddrPort
	Message FromHolder
}

// ToHolder is a message with its destination.
type ToHolder struct {
	Holder  netip.AddrPort
	Message FromManager
}
