package broker

// linearFit estimates how much one quantity grows with another, by a
// least-squares line through weighted samples that decay with age. The zero value
// has no samples.
type linearFit struct{ n, x, y, xx, xy float64 }

// fitDecay is the factor by which the weight of earlier samples shrinks with
// each new one: about a hundred samples count.
const fitDecay = 0.99

// add adds a sample with a weight.
func (f *linearFit) add(x, y, weight float64) {
	f.n = f.n*fitDecay + weight
	f.x = f.x*fitDecay + weight*x
	f.y = f.y*fitDecay + weight*y
	f.xx = f.xx*fitDecay + weight*x*x
	f.xy = f.xy*fitDecay + weight*x*y
}

// slope is the increase of y per unit of x; 0 if y decreases or the samples do
// not determine it.
func (f *linearFit) slope() float64 {
	spread := f.n*f.xx - f.x*f.x
	if spread <= 0 {
		return 0
	}
	return max((f.n*f.xy-f.x*f.y)/spread, 0)
}
