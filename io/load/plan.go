// Package load is an open-loop load generator: arrival times follow a plan
// generated from a seed and don't depend on the responses, so that policies can be
// compared on the same arrivals.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// TierWeight is the relative share of one tier in the load.
type TierWeight struct {
	Name   string
	Weight int
}

// Plan describes a load. Arrivals are a Poisson process, with an optional burst.
type Plan struct {
	Seed          uint64
	Rate          float64 // requests a second
	Duration      time.Duration
	Mix           []TierWeight
	Model         string
	Stream        bool
	PrefixCount   int     // distinct prompt prefixes
	PrefixBytes   int     // length of a prompt prefix in bytes
	MinTokens     int     // token limit of the shortest response
	TailRatio     float64 // ratio of the longest response to the shortest
	TailShape     float64 // exponent of the bounded Pareto distribution of response lengths
	BurstStart    time.Duration
	BurstDuration time.Duration
	BurstFactor   float64 // multiplies the rate during the burst; 0 for no burst
}

// Arrival is one planned request.
type Arrival struct {
	At           time.Duration // since the start
	Tier         string
	PrefixNumber int
	SuffixSeed   uint64 // seed of the suffix, which makes prompts with the same prefix differ
	Tokens       int
}

// Arrivals generates all requests of the plan.
func (p *Plan) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / p.rateAt(at) * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		arrivals = append(arrivals, Arrival{
			At: at, Tier: p.tier(random), PrefixNumber: random.IntN(max(p.PrefixCount, 1)),
			SuffixSeed: random.Uint64(), Tokens: p.tokens(random),
		})
	}
}

// rateAt returns the arrival rate at a time since the start.
func (p *Plan) rateAt(at time.Duration) float64 {
	if p.BurstFactor > 0 && at >= p.BurstStart && at < p.BurstStart+p.BurstDuration {
		return p.Rate * p.BurstFactor
	}
	return p.Rate
}

// tier picks a tier at random according to the weights.
func (p *Plan) tier(random *rand.Rand) string {
	total := 0
	for _, m := range p.Mix {
		total += m.Weight
	}
	if total == 0 {
		return ""
	}
	remaining := random.IntN(total)
	for _, m := range p.Mix {
		if remaining -= m.Weight; remaining < 0 {
			return m.Name
		}
	}
	return ""
}

// tokens picks a response length from the bounded Pareto distribution.
func (p *Plan) tokens(random *rand.Rand) int {
	if p.TailRatio <= 1 || p.TailShape <= 0 {
		return p.MinTokens
	}
	u := random.Float64()
	ratio := math.Pow(1-u*(1-math.Pow(p.TailRatio, -p.TailShape)), -1/p.TailShape)
	return int(float64(p.MinTokens) * ratio)
}

// prompt generates the prompt of a request: its prefix and its suffix.
func (p *Plan) prompt(a Arrival) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	random := rand.New(rand.NewPCG(p.Seed, uint64(a.PrefixNumber)))
	var b strings.Builder
	for range p.PrefixBytes {
		b.WriteByte(letters[random.IntN(len(letters))])
	}
	suffix := rand.New(rand.NewPCG(p.Seed, a.SuffixSeed))
	for range p.PrefixBytes / prefixToSuffixRatio {
		b.WriteByte(letters[suffix.IntN(len(letters))])
	}
	return b.String()
}

// prefixToSuffixRatio is the length of a prompt's prefix divided by that of its
// suffix.
const prefixToSuffixRatio = 8
