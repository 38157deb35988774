package broker

// slope estimates how much one quantity grows with another, by a least-squares
// line through weighted samples that decay with age. The zero value has no
// samples.
type slope struct{ n, x, y, xx, xy float64 }

// slopeDecay is the factor by which the weight of earlier samples shrinks with
// each new one: about a hundred samples count.
const slopeDecay = 0.99

// see adds a sample with a weight.
func (s *slope) see(x, y, weight float64) {
	s.n = s.n*slopeDecay + weight
	s.x = s.x*slopeDecay + weight*x
	s.y = s.y*slopeDecay + weight*y
	s.xx = s.xx*slopeDecay + weight*x*x
	s.xy = s.xy*slopeDecay + weight*x*y
}

// yPerX is the increase of y per unit of x; 0 if y decreases or the samples do
// not determine it.
func (s *slope) yPerX() float64 {
	spread := s.n*s.xx - s.x*s.x
	if spread <= 0 {
		return 0
	}
	return max((s.n*s.xy-s.x*s.y)/spread, 0)
}
