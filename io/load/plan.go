// Package load is an open-loop load generator: arrivals follow a plan drawn
// from a seed, whatever the answers do, so that policies can be compared on the
// same arrivals.
package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// TierWeight is one tier's part of the load.
type TierWeight struct {
	Name   string
	Weight int
}

// Plan describes a load.
type Plan struct {
	Seed          uint64
	Rate          float64 // requests a second
	Duration      time.Duration
	Mix           []TierWeight
	Model         string
	Stream        bool
	Prefixes      int     // distinct prompt prefixes
	PrefixBytes   int     // bytes of a prefix
	MinTokens     int     // least tokens of an answer
	TailRatio     float64 // longest answer over the shortest
	TailShape     float64 // exponent of the bounded Pareto law of lengths
	BurstStart    time.Duration
	BurstDuration time.Duration
	BurstFactor   float64 // factor on the rate during the burst
}

// Arrival is one planned request.
type Arrival struct {
	At     time.Duration // from the start
	Tier   string
	Prefix int
	Suffix uint64 // makes the prompt's end differ
	Tokens int
}

// Arrivals draws the whole plan.
func (p *Plan) Arrivals() []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var all []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / p.rateAt(at) * float64(time.Second))
		if at >= p.Duration {
			return all
		}
		all = append(all, Arrival{
			At: at, Tier: p.tier(random), Prefix: random.IntN(max(p.Prefixes, 1)),
			Suffix: random.Uint64(), Tokens: p.tokens(random),
		})
	}
}

func (p *Plan) rateAt(at time.Duration) float64 {
	if p.BurstFactor > 0 && at >= p.BurstStart && at < p.BurstStart+p.BurstDuration {
		return p.Rate * p.BurstFactor
	}
	return p.Rate
}

func (p *Plan) tier(random *rand.Rand) string {
	sum := 0
	for _, m := range p.Mix {
		sum += m.Weight
	}
	if sum == 0 {
		return ""
	}
	at := random.IntN(sum)
	for _, m := range p.Mix {
		if at -= m.Weight; at < 0 {
			return m.Name
		}
	}
	return ""
}

// tokens draws a length from a bounded Pareto law.
func (p *Plan) tokens(random *rand.Rand) int {
	if p.TailRatio <= 1 || p.TailShape <= 0 {
		return p.MinTokens
	}
	u := random.Float64()
	ratio := math.Pow(1-u*(1-math.Pow(p.TailRatio, -p.TailShape)), -1/p.TailShape)
	return int(float64(p.MinTokens) * ratio)
}

// prompt builds the text of an arrival.
func (p *Plan) prompt(a Arrival) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	random := rand.New(rand.NewPCG(p.Seed, uint64(a.Prefix)))
	var b strings.Builder
	for range p.PrefixBytes {
		b.WriteByte(letters[random.IntN(len(letters))])
	}
	tail := rand.New(rand.NewPCG(p.Seed, a.Suffix))
	for range p.PrefixBytes / promptTailPart {
		b.WriteByte(letters[tail.IntN(len(letters))])
	}
	return b.String()
}

// promptTailPart is the length of a prefix over that of the differing end.
const promptTailPart = 8
