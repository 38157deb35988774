package parts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// maxHandover is the number of crashes, and of answers, that a host hands over to
// another that may have missed some: about 30 KB.
const maxHandover = 512

// Crash is a run that broke off because its target crashed.
type Crash struct {
	ID     member.CrashID    `cbor:"1,keyasint,omitempty"`
	Target netip.AddrPort    `cbor:"2,keyasint,omitempty"`
	Parts  model.PromptParts `cbor:"3,keyasint,omitempty"` // that no answer has cleared
	Age    time.Duration     `cbor:"4,keyasint,omitempty"` // time since the crash
	Took   time.Duration     `cbor:"5,keyasint,omitempty"` // time from sending the request to the crash
	// Born is the published lifetime of the target; 0 if not known, as from an earlier build.
	Born uint64 `cbor:"6,keyasint,omitempty"`
}

// Answer records that a request with a part was answered completely.
type Answer struct {
	Part model.PromptPart `cbor:"1,keyasint,omitempty"`
	Age  time.Duration    `cbor:"2,keyasint,omitempty"` // time since the answer
}

// Refusal is a part that is refused, or was.
type Refusal struct {
	Part   model.PromptPart `cbor:"1,keyasint,omitempty"`
	Age    time.Duration    `cbor:"2,keyasint,omitempty"` // time since its latest crash
	Length time.Duration    `cbor:"3,keyasint,omitempty"` // from the latest crash on
}

// Shared are records that a host sends to others.
type Shared struct {
	Crashes  []Crash   `cbor:"1,keyasint,omitempty"`
	Answers  []Answer  `cbor:"2,keyasint,omitempty"`
	Refusals []Refusal `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there are no records.
func (s *Shared) Empty() bool { return len(s.Crashes)+len(s.Answers)+len(s.Refusals) == 0 }

// TakeNew returns the crashes and answers reported here since the last call.
func (r *Records) TakeNew(now time.Time) Shared {
	var s Shared
	for _, x := range r.unsentRuns {
		s.Crashes = append(s.Crashes, share(now, x.process, x.run))
	}
	for _, p := range r.unsentAnswers {
		s.Answers = append(s.Answers, Answer{Part: p, Age: now.Sub(r.answered[p])})
	}
	r.unsentRuns, r.unsentAnswers = nil, nil
	return s
}

func share(now time.Time, process member.Process, x run) Crash {
	return Crash{ID: x.id, Target: process.Address, Born: process.Born, Parts: x.parts, Age: now.Sub(x.at), Took: x.at.Sub(x.sentAt)}
}

// Handover returns the records for a host that may have missed some: all, or the
// latest ones.
func (r *Records) Handover(now time.Time) Shared {
	r.conclude(now)
	var s Shared
	for _, e := range r.events {
		for _, x := range e.runs {
			s.Crashes = append(s.Crashes, share(now, e.process, x))
		}
	}
	for p, at := range r.answered {
		s.Answers = append(s.Answers, Answer{Part: p, Age: now.Sub(at)})
	}
	for p, f := range r.refusals {
		s.Refusals = append(s.Refusals, Refusal{Part: p, Age: now.Sub(f.crashedAt), Length: f.length})
	}
	slices.SortFunc(s.Crashes, func(x, y Crash) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.ID.Serial, y.ID.Serial)) })
	slices.SortFunc(s.Answers, func(x, y Answer) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Part, y.Part)) })
	slices.SortFunc(s.Refusals, func(x, y Refusal) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Part, y.Part)) })
	s.Crashes = s.Crashes[:min(len(s.Crashes), maxHandover)]
	s.Answers = s.Answers[:min(len(s.Answers), maxHandover)]
	return s
}

// Merge merges another host's records.
func (r *Records) Merge(now time.Time, s Shared) {
	for _, a := range s.Answers {
		if a.Age >= 0 && a.Age < refusalMemory {
			r.clear(a.Part, now.Add(-a.Age))
		}
	}
	for _, f := range s.Refusals {
		r.mergeRefusal(now, f)
	}
	for _, c := range s.Crashes {
		if c.Age >= 0 && c.Age < refusalMemory && c.Took >= 0 {
			at := now.Add(-c.Age)
			r.add(member.Process{Address: c.Target, Born: c.Born}, run{id: c.ID, sentAt: at.Add(-c.Took), at: at, parts: c.Parts})
		}
	}
	r.conclude(now)
}

// mergeRefusal adds a refusal unless a later answer or a longer refusal is known.
func (r *Records) mergeRefusal(now time.Time, f Refusal) {
	crashedAt := now.Add(-f.Age)
	known, ok := r.refusals[f.Part]
	if f.Age < 0 || f.Length <= 0 || now.Sub(crashedAt.Add(f.Length)) >= refusalMemory || !crashedAt.After(r.answered[f.Part]) || ok && known.length >= f.Length {
		return
	}
	if !ok {
		r.evictRefusal()
		r.changes = append(r.changes, Change{Part: f.Part, Refused: true})
	}
	r.findings = nil
	r.refusals[f.Part] = refusal{crashedAt: crashedAt, until: crashedAt.Add(f.Length), length: f.Length}
}
