package broker

// slope learns how much one quantity grows with another, as a line through what was
// seen lately. The zero slope has seen nothing.
type slope struct{ n, x, y, xx, xy float64 }

// slopeFade is what is left of the weight of the former at each new sight: some
// hundred count.
const slopeFade = 0.99

// see takes in a pair, counted so many times.
func (s *slope) see(x, y, weight float64) {
	s.n = s.n*slopeFade + weight
	s.x = s.x*slopeFade + weight*x
	s.y = s.y*slopeFade + weight*y
	s.xx = s.xx*slopeFade + weight*x*x
	s.xy = s.xy*slopeFade + weight*x*y
}

// perUnit is the growth of y with x; 0 if it falls or nothing tells.
func (s *slope) perUnit() float64 {
	spread := s.n*s.xx - s.x*s.x
	if spread <= 0 {
		return 0
	}
	return max((s.n*s.xy-s.x*s.y)/spread, 0)
}
