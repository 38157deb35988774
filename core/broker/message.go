package broker

import (
	"time"

	"yuccadoor/core/model"
)

// Request is a host's wish to send one request. Times are left at sending.
type Request struct {
	ID              uint64        `cbor:"1,keyasint,omitempty"` // within the asking host's incarnation
	Service         string        `cbor:"2,keyasint,omitempty"`
	Workspace       string        `cbor:"3,keyasint,omitempty"`
	QuotaTokens     float64       `cbor:"4,keyasint,omitempty"`  // of the workspace's allowance
	Tier            model.Tier    `cbor:"5,keyasint,omitempty"`  // of the workspace, or of the route where it has none
	Class           model.Tier    `cbor:"6,keyasint,omitempty"`  // of the route
	StartWithin     time.Duration `cbor:"7,keyasint,omitempty"`  // to the latest start of the answer that is in time
	ExpiresIn       time.Duration `cbor:"8,keyasint,omitempty"`  // until the request is given up
	PromptTokens    int           `cbor:"9,keyasint,omitempty"`  // tokens
	OutputTokens    int           `cbor:"10,keyasint,omitempty"` // tokens, expected
	ExcludedTargets []string      `cbor:"11,keyasint,omitempty"` // targets not to be used again
	Resubmitted     bool          `cbor:"12,keyasint,omitempty"` // asked before: its allowance is used already
	Zone            string        `cbor:"13,keyasint,omitempty"` // of the asking host
	// Content identifies path, caller and body, whoever sends them again.
	Content model.Fingerprint `cbor:"14,keyasint,omitempty"`
	// MaxEventGap is the longest between two events of a stream for which it is in time; 0
	// for no stream.
	MaxEventGap time.Duration `cbor:"15,keyasint,omitempty"`
}

// Grant lets a host send one request to one target.
type Grant struct {
	ID     uint64 `cbor:"1,keyasint,omitempty"`
	Target string `cbor:"2,keyasint,omitempty"`
}

// Refusal ends a request that has not run.
type Refusal struct {
	ID           uint64        `cbor:"1,keyasint,omitempty"`
	OverQuota    bool          `cbor:"2,keyasint,omitempty"` // beyond the workspace's allowance
	RetryAfter   time.Duration `cbor:"3,keyasint,omitempty"` // when to come back
	ExpectedWait time.Duration `cbor:"4,keyasint,omitempty"` // until its turn would probably come; for an allowance, until there is enough
	Cause        string        `cbor:"5,keyasint,omitempty"`
}

// Outcome is how a granted request ended.
type Outcome string

// The outcomes.
const (
	Good      Outcome = "Good"      // answered whole
	Failed    Outcome = "Failed"    // the target answered with an error of its own
	Rejected  Outcome = "Rejected"  // the target did not run it
	Broken    Outcome = "Broken"    // the connection broke, or the answer was none
	NoConnect Outcome = "NoConnect" // no connection was made
	Unused    Outcome = "Unused"    // nothing was sent
	Cancelled Outcome = "Cancelled" // the caller left or its time was over
)

// NotRun reports that the target has not run the request: what it used of an
// allowance is given back.
func (o Outcome) NotRun() bool { return o == Rejected || o == NoConnect || o == Unused }

// Completion reports the end of a granted request.
type Completion struct {
	ID              uint64        `cbor:"1,keyasint,omitempty"`
	Target          string        `cbor:"2,keyasint,omitempty"`
	Outcome         Outcome       `cbor:"3,keyasint,omitempty"`
	Took            time.Duration `cbor:"4,keyasint,omitempty"` // from sending to the end
	TimeToFirstPart time.Duration `cbor:"5,keyasint,omitempty"` // from sending to the first part of the answer
	OutputTokens    int           `cbor:"6,keyasint,omitempty"` // generated
	// ColdLeft is how long the target stays cold, as it told; 0 for warm or not told.
	ColdLeft time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxEventGap is the longest between two events.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
}

// first is how soon the answer began: one that is no stream begins when it is whole.
func (d Completion) first() time.Duration {
	if d.TimeToFirstPart == 0 && d.OutputTokens == 0 {
		return d.Took
	}
	return d.TimeToFirstPart
}

// RunningRequest is a request that a host has under way, told to a new leader.
type RunningRequest struct {
	ID     uint64 `cbor:"1,keyasint,omitempty"`
	Target string `cbor:"2,keyasint,omitempty"`
}
