// Package intake decides how much a host holds for clients outside its control: which
// bodies it reads, which it drops when its memory is used up, and which connections it
// closes when there are too many. Packages io/body and io/accept apply the decisions.
package intake

// Sizes of what is held for one client.
const (
	// GuaranteedBytes of each body are not taken from the shared part. Ordinary bodies
	// have some KB.
	GuaranteedBytes = 8 << 10
	// OrdinaryBytes is the size up to which a body may use the whole shared part. Ordinary
	// bodies have at most 100 KB.
	OrdinaryBytes = 128 << 10
	// StepBytes is the step in which the reservation of a body without a stated length grows.
	StepBytes = 64 << 10
	// connBytes is what an open connection takes: buffers of 4 KB in both directions, the
	// stacks of two goroutines, and its request, 24 KB in all; and a quarter of that for
	// connections that were closed for others and are still being handled.
	connBytes = 30 << 10
	// FreeHeadBytes of a request's head count with its connection.
	FreeHeadBytes = 4 << 10
	// headCopies is how often a head is held: as read, as parsed and as forwarded.
	headCopies = 3
	// carriedBytes is what a connection carried for another host takes: as an open one, and
	// a copy buffer of 32 KB in both directions.
	carriedBytes = connBytes + 64<<10
	// maxMessageBytes limits a message of another host. A configuration with 950
	// workspaces has under 1 MB.
	maxMessageBytes = 8 << 20
)

// Parts of a machine's memory. docs/CAPACITY.md has their sum for the machines in use.
const (
	defaultMemory    = 512 << 20 // where the settings state none
	bodiesDivisor    = 6
	connsDivisor     = 8
	headsDivisor     = 32
	carriedDivisor   = 24
	messagesDivisor  = 24
	largeNumerator   = 3 // of largeDenominator parts of the shared part, for bodies over OrdinaryBytes
	largeDenominator = 4
)

// Parts of a machine's descriptors. What is left is for files and connections to targets
// and hosts.
const (
	defaultDescriptors = 4096
	frontDivisor       = 2
	hostsDivisor       = 8
	carriedShare       = 16 // two descriptors each
	sideDivisor        = 32
	maxHostConns       = 1024
	maxCarried         = 512
	maxSideConns       = 128
)

// Limits are the bounds of what a host holds for clients.
type Limits struct {
	Shared       int64 // bytes of bodies beyond their guaranteed parts
	Large        int64 // part of Shared that bodies over OrdinaryBytes may use
	Heads        int64 // bytes of heads beyond FreeHeadBytes each
	Messages     int64 // bytes of messages of other hosts that are being read
	MessageBytes int64 // of one message
	Conns        int   // clients' connections
	HostConns    int   // connections of other hosts
	SideConns    int   // connections to the ready port, and as many to the admin port
	Carried      int   // connections carried for other hosts
}

// LimitsFor returns the limits on a machine with so many bytes of memory and so many
// descriptors. Zero means that the machine's size is not known.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	l := Limits{
		Heads:        memory / headsDivisor / headCopies,
		Messages:     max(memory/messagesDivisor, maxMessageBytes),
		MessageBytes: maxMessageBytes,
		Conns:        int(min(memory/connsDivisor/connBytes, int64(descriptors/frontDivisor))),
		HostConns:    min(descriptors/hostsDivisor, maxHostConns),
		SideConns:    min(descriptors/sideDivisor, maxSideConns),
		Carried:      int(min(memory/carriedDivisor/carriedBytes, int64(descriptors/carriedShare), maxCarried)),
	}
	l.SetConns(memory, l.Conns)
	return l
}

// SetConns sets the number of clients' connections and gives the shared part what their
// guaranteed parts leave.
func (l *Limits) SetConns(memory int64, conns int) {
	if memory <= 0 {
		memory = defaultMemory
	}
	l.Conns = conns
	l.Shared = max(memory/bodiesDivisor-int64(conns)*GuaranteedBytes, memory/bodiesDivisor/2)
	l.Large = l.Shared / largeDenominator * largeNumerator
}
