package broker

// slope estimates how much one quantity grows with another, by a least-squares
// line through weighted samples that decay with age. The zero value has no
// samples.
type slope struct{ n, x, y, xx, xy float64 }

// slopeFade is the factor by which the weight of earlier samples shrinks with
// each new one: about a hundred samples count.
const slopeFade = 0.99

// see adds a sample with a weight.
func (s *slope) see(x, y, weight float64) {
	s.n = s.n*slopeFade + weight
	s.x = s.x*slopeFade + weight*x
	s.y = s.y*slopeFade + weight*y
	s.xx = s.xx*slopeFade + weight*x*x
	s.xy = s.xy*slopeFade + weight*x*y
}

// perUnit is the increase of y per unit of x; 0 if y decreases or the samples do
// not determine it.
func (s *slope) perUnit() float64 {
	spread := s.n*s.xx - s.x*s.x
	if spread <= 0 {
		return 0
	}
	return max((s.n*s.xy-s.x*s.y)/spread, 0)
}
