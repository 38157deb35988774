package routes

// Limits from which a workspace counts as dominant. A workspace with over a quarter of all
// allowances takes half of the service at twice its usual load; where workspaces are few, each
// has such a part.
const (
	dominantShare = 0.25 // of all allowances
	dominantRatio = 4    // to the mean allowance
)

// HasDominantWorkspace reports whether the allowance of one workspace is so much larger than
// those of the others that it can take the room of most of them.
func (c *Config) HasDominantWorkspace() bool {
	sum, largest, n := 0.0, 0.0, 0
	for i := range c.Workspaces {
		if a := c.Workspaces[i].Allowance.PerSecond; a > 0 {
			sum, largest, n = sum+a, max(largest, a), n+1
		}
	}
	return n > 0 && largest > dominantShare*sum && largest > dominantRatio*sum/float64(n)
}
