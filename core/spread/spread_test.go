package spread

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPolicies(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for _, p := range Policies() {
		t.Run(string(p), func(t *testing.T) {
			b := New(p, rand.New(rand.NewPCG(1, 1)))
			assert.Equal(t, b.Choose("s", nil), "")
			chosen := map[string]int{}
			for range 300 {
				chosen[b.Choose("s", ids)]++
			}
			for _, id := range ids {
				assert.Assert(t, chosen[id] >= 80, "%s chosen %d times of 300", id, chosen[id])
				for range chosen[id] {
					b.Done(id)
				}
			}
			assert.Equal(t, len(b.outstanding), 0)
		})
	}
}
