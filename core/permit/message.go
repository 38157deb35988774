// Package permit controls how many requests run concurrently on a target. Each
// target is managed by one host, its manager, which grants permits to the hosts
// whose requests wait. A host that holds a permit sends its request directly to the
// target. Manager and Holder are state machines that do no I/O and read no clock:
// events and times are passed in, and messages are returned.
//
// A holder and a manager exchange messages over one ordered connection in each
// direction. Messages carry sequence numbers. When one is lost, the gap is detected
// and the holder sends its full state: all its permits and open asks.
package permit

import (
	"net/netip"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
)

// Ticket identifies an ask of a holder and the permit granted for it.
type Ticket uint64

// Ask asks for a permit to run one request on one target.
type Ask struct {
	Ticket    Ticket
	Target    netip.AddrPort
	Workspace string
	Tier      model.Tier
	Patience  time.Duration // time left until the request's deadline
	Useful    time.Duration `json:",omitempty"` // time left for a start that meets the objective; 0 without an objective, objectiveMissed if it was missed
}

// Withdrawal cancels an ask.
type Withdrawal struct {
	Ticket Ticket
	Target netip.AddrPort
}

// Release returns a permit, with the result of its request.
type Release struct {
	Ticket Ticket
	Target netip.AddrPort
	Result limit.Result
}

// Holding describes a permit that a holder has.
type Holding struct {
	Ticket    Ticket
	Target    netip.AddrPort
	Workspace string
}

// HandoverState is the state of a target that a former manager passes to the new one.
type HandoverState struct {
	Target      netip.AddrPort
	Slots       int
	Incarnation model.Incarnation // of the target at the time of Slots
}

// Claim announces that a manager takes over a target. A holder that accepts it
// reports its permits for the target, and accepts permits for the target from no
// other manager until it reads a newer host list. Number identifies the claim among
// those of the manager.
type Claim struct {
	Target netip.AddrPort
	Number uint64
}

// FromHolder is a message from a holder to a manager.
type FromHolder struct {
	Incarnation model.Incarnation // of the holder
	Seq         uint64            // sequence number of messages from this holder to this manager
	Sent        time.Duration     // time of sending on the holder's monotonic clock
	Full        bool              `json:",omitempty"` // the message contains all asks and holdings
	Seen        uint64            `json:",omitempty"` // Seq of the manager's last message that the holder handled
	SeenOf      model.Incarnation `json:",omitempty"` // incarnation of the manager that Seen refers to
	Asks        []Ask             `json:",omitempty"`
	Withdrawals []Withdrawal      `json:",omitempty"`
	Releases    []Release         `json:",omitempty"`
	Holdings    []Holding         `json:",omitempty"`
	Accepted    []Claim           `json:",omitempty"` // claims that the holder accepts
	Known       []HandoverState   `json:",omitempty"`
}

// Grant grants a permit to send one request to one target.
type Grant struct {
	Ticket Ticket
	Target netip.AddrPort
}

// Status is the reason why a manager rejects an ask. An ask that it queues gets no
// reply until it is granted.
type Status string

// The reasons for rejecting an ask.
const (
	NotManager Status = "NotManager" // another host manages the target
	Unusable   Status = "Unusable"   // the target accepts no new requests
	QueueFull  Status = "Full"       // too many asks are queued for the target
)

// Notice rejects an ask.
type Notice struct {
	Ticket Ticket
	Target netip.AddrPort
	Status Status
}

// FromManager is a message from a manager to a holder.
type FromManager struct {
	Incarnation model.Incarnation // of the manager
	Fence       model.Revision    // revision of the manager's host list
	Seq         uint64            // sequence number of messages from this manager to this holder
	Echo        time.Duration     // latest Sent among the messages that the manager has handled
	Resync      bool              `json:",omitempty"` // the holder must send its full state
	Claims      []Claim           `json:",omitempty"` // targets that the manager is taking over
	Grants      []Grant           `json:",omitempty"`
	Notices     []Notice          `json:",omitempty"`
}

// ToManager is a message to a manager with its destination.
type ToManager struct {
	Manager netip.AddrPort
	Message FromHolder
}

// ToHolder is a message to a holder with its destination.
type ToHolder struct {
	Holder  netip.AddrPort
	Message FromManager
}
