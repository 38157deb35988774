package broker

import (
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Request asks to send one request to a target of a service. Its durations count
// from the sending of this message.
type Request struct {
	ID              uint64        `cbor:"1,keyasint,omitempty"` // unique within the asking host's incarnation
	Service         string        `cbor:"2,keyasint,omitempty"`
	Workspace       string        `cbor:"3,keyasint,omitempty"`
	QuotaTokens     float64       `cbor:"4,keyasint,omitempty"` // charged to the workspace's allowance
	Tier            model.Tier    `cbor:"5,keyasint,omitempty"` // of the workspace, or of the route if the workspace has none
	Class           model.Tier    `cbor:"6,keyasint,omitempty"` // of the route
	StartWithin     time.Duration `cbor:"7,keyasint,omitempty"` // until the latest start of the answer that is in time
	ExpiresIn       time.Duration `cbor:"8,keyasint,omitempty"` // until the request is given up
	PromptTokens    int           `cbor:"9,keyasint,omitempty"`
	OutputTokens    int           `cbor:"10,keyasint,omitempty"` // expected
	ExcludedTargets []string      `cbor:"11,keyasint,omitempty"` // not to be used for this request again
	Resubmitted     bool          `cbor:"12,keyasint,omitempty"` // submitted before: its tokens are charged already
	Zone            string        `cbor:"13,keyasint,omitempty"` // of the asking host
	// Content is the fingerprint of path, caller and body, the same for every
	// repeat of the request.
	Content model.Fingerprint `cbor:"14,keyasint,omitempty"`
	// MaxEventGap is the longest gap between two events of a stream that is in
	// time; 0 if the answer is no stream.
	MaxEventGap time.Duration     `cbor:"15,keyasint,omitempty"`
	SharedParts model.PromptParts `cbor:"16,keyasint,omitempty"` // of the prompt; not its last part
	// Stream is the key of a resumable stream, the same for all requests by which its
	// caller takes it up; 0 if the answer is no such stream.
	Stream   uint64           `cbor:"17,keyasint,omitempty"`
	Resumed  bool             `cbor:"18,keyasint,omitempty"` // the caller has the stream's first event from an earlier request
	LastPart model.PromptPart `cbor:"19,keyasint,omitempty"` // of a resumed stream's prompt; 0 if not stated
	// Pinned is set if the host itself knows that Version began the stream.
	Pinned  bool   `cbor:"20,keyasint,omitempty"`
	Version string `cbor:"21,keyasint,omitempty"`
	// CallerWait is how long the caller waits in all for the end of the answer, over this try
	// and the next one; 0 if not stated.
	CallerWait time.Duration `cbor:"22,keyasint,omitempty"`
	// Repeatable is set if the host can send the request to another target in time if the
	// first one leaves it unanswered.
	Repeatable bool `cbor:"23,keyasint,omitempty"`
}

// InProgress reports whether the request has been sent to a target before, or continues a
// stream of which its caller has a part.
func (r *Request) InProgress() bool { return r.Resubmitted || r.Pinned || len(r.ExcludedTargets) > 0 }

// ShortenCallerWait deducts a time that has passed. One that is stated stays over 0.
func (r *Request) ShortenCallerWait(by time.Duration) {
	if r.CallerWait > 0 {
		r.CallerWait = max(r.CallerWait-by, time.Millisecond)
	}
}

// Grant allows a host to send one request to one target.
type Grant struct {
	ID     uint64 `cbor:"1,keyasint,omitempty"`
	Target string `cbor:"2,keyasint,omitempty"`
}

// Refusal rejects a request that has not run.
type Refusal struct {
	ID           uint64        `cbor:"1,keyasint,omitempty"`
	OverQuota    bool          `cbor:"2,keyasint,omitempty"` // beyond the workspace's allowance
	RetryAfter   time.Duration `cbor:"3,keyasint,omitempty"` // after which the caller should try again
	ExpectedWait time.Duration `cbor:"4,keyasint,omitempty"` // estimated wait for a target, or for the allowance to suffice
	Cause        string        `cbor:"5,keyasint,omitempty"`
	Booked       bool          `cbor:"6,keyasint,omitempty"` // capacity is booked for a retry after RetryAfter
	// Suspects are the parts of the prompt for which the request is refused, Crashes the
	// latest crashes that accuse them, for logs.
	Suspects model.PromptParts `cbor:"7,keyasint,omitempty"`
	Crashes  []member.CrashID  `cbor:"8,keyasint,omitempty"`
}

// Outcome is how a granted request ended.
type Outcome string

// Outcomes of granted requests.
const (
	Good      Outcome = "Good"      // answered completely
	Failed    Outcome = "Failed"    // the target answered with an error of its own
	Rejected  Outcome = "Rejected"  // the target did not run it
	Broken    Outcome = "Broken"    // the connection broke, or no valid answer came
	NoConnect Outcome = "NoConnect" // no connection was established
	Unused    Outcome = "Unused"    // nothing was sent
	Cancelled Outcome = "Cancelled" // the caller disconnected, or its time was over
)

// NotRun reports whether the target has not run the request, so that its tokens
// are returned to the allowance.
func (o Outcome) NotRun() bool { return o == Rejected || o == NoConnect || o == Unused }

// Completion reports the end of a granted request.
type Completion struct {
	ID              uint64        `cbor:"1,keyasint,omitempty"`
	Target          string        `cbor:"2,keyasint,omitempty"`
	Outcome         Outcome       `cbor:"3,keyasint,omitempty"`
	Took            time.Duration `cbor:"4,keyasint,omitempty"` // from sending to the end
	TimeToFirstPart time.Duration `cbor:"5,keyasint,omitempty"` // from sending to the first part of the answer
	OutputTokens    int           `cbor:"6,keyasint,omitempty"` // generated
	// ColdLeft is how long the target will still be cold, as it reported; 0 if it
	// is warm or reported nothing.
	ColdLeft time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxEventGap is the longest gap between two events.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
	// Inconclusive is set if a good answer does not show that the target has survived
	// the request: it is no success, or the end of its connection is its only end.
	Inconclusive bool `cbor:"9,keyasint,omitempty"`
	// Allowed is the time that the attempt had for the start of the answer; 0 if the host
	// does not state it.
	Allowed time.Duration `cbor:"10,keyasint,omitempty"`
}

// startLatency is the time until the answer started. An answer that is no stream
// starts when it is complete.
func (c Completion) startLatency() time.Duration {
	if c.TimeToFirstPart == 0 && c.OutputTokens == 0 {
		return c.Took
	}
	return c.TimeToFirstPart
}

// RunningRequest is a granted request in progress, reported to a new leader.
type RunningRequest struct {
	ID          uint64            `cbor:"1,keyasint,omitempty"`
	Target      string            `cbor:"2,keyasint,omitempty"`
	SharedParts model.PromptParts `cbor:"3,keyasint,omitempty"`
}
