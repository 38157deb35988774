package storm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxRecoveryTime is the time after a storm within which the platform wants service back.
const maxRecoveryTime = 15 * time.Second

// Regression test: the work for each message grew with what waited, so that a leader that had
// fallen behind stayed behind until all hosts were restarted.
func TestFleetRecoversFromAStorm(t *testing.T) {
	const minShare = 0.9
	for _, c := range []struct {
		name   string
		config Config
	}{
		{"large fleet", Config{Hosts: 295, Engines: 240, Rate: 1, Speed: 1, Burst: 2, Seed: 77}},
		{"planned fleet", Config{Hosts: 320, Engines: 600, Rate: 3.7, Speed: 1.8, Burst: 1.4, Seed: 77}},
	} {
		t.Run(c.name, func(t *testing.T) {
			back := Calm + Length + maxRecoveryTime
			r := Play(c.config, back+4*time.Second)
			for second, count := range r.Seconds {
				t.Logf("%2d s: %d of %d in time", second, count.InTime, count.Asked)
			}
			t.Logf("in the storm, by route: %v; %d messages and %d requests wait", r.InStorm, r.Messages, r.Requests)
			before, after := r.Between(time.Second, Calm), r.Between(back, back+3*time.Second)
			assert.Assert(t, before.Share() >= minShare, "served in time before the storm %.2f", before.Share())
			assert.Assert(t, after.Share() >= minShare*before.Share(), "served in time before the storm %.2f, %s after it %.2f", before.Share(), maxRecoveryTime, after.Share())
		})
	}
}

// The same seed plays the same day, so that a finding can be looked at again.
func TestPlayRepeats(t *testing.T) {
	c := Config{Hosts: 20, Engines: 10, Rate: 0.1, Speed: 1, Burst: 3, Seed: 5}
	a, b := Play(c, 12*time.Second), Play(c, 12*time.Second)
	assert.DeepEqual(t, a, b)
}
