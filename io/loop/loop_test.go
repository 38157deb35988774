package loop

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/core/once"
	"yuccadoor/core/route"
	"yuccadoor/io/logs"
)

func newLoop(t *testing.T) *Loop {
	t.Helper()
	log, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	l, cleanup := New(context.Background(), Settings{
		Self: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", Incarnation: 1, MaxWaiting: 1,
		Policy: route.Affinity{}, Log: log, Now: time.Now,
	})
	t.Cleanup(cleanup)
	return l
}

// Configurations may arrive in any order, from the platform or from peers. An older
// revision must not replace a newer one, and an invalid one must not take effect.
func TestOldOrInvalidConfigDoesNotTakeEffect(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "local.yaml"))
	assert.NilError(t, err)
	cases := []struct {
		name     string
		arrivals []model.Revision
		invalid  model.Revision // arrives with invalid content
		want     model.Revision
	}{
		{"in order", []model.Revision{1, 2, 3}, 0, 3},
		{"older after newer", []model.Revision{5, 2, 4}, 0, 5},
		{"repeated", []model.Revision{3, 3}, 0, 3},
		{"invalid one between", []model.Revision{1, 2, 1}, 2, 1},
		{"valid one after an invalid one", []model.Revision{1, 2, 3}, 2, 3},
		{"older than an invalid one", []model.Revision{5, 4}, 5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLoop(t)
			for _, r := range c.arrivals {
				content := string(text)
				if r == c.invalid {
					content = "Tiers: 1"
				}
				assert.NilError(t, l.AdoptConfig(context.Background(), r, content))
			}
			var got model.Revision
			assert.NilError(t, l.do(context.Background(), func(time.Time) { got = l.config.revision }))
			assert.Equal(t, got, c.want)
		})
	}
}

// A caller that disconnects while BeginKey waits for the loop must still get the decision.
// BeginKey used to return early, which raced with the loop writing the decision and
// left the key marked as running forever.
func TestBeginKeyReturnsDecisionAfterCancel(t *testing.T) {
	l := newLoop(t)
	ctx, cancel := context.WithCancel(context.Background())
	began, release := make(chan struct{}), make(chan struct{})
	go func() {
		_ = l.do(context.Background(), func(time.Time) {
			close(began)
			<-release
		})
	}()
	<-began
	time.AfterFunc(20*time.Millisecond, func() {
		cancel()
		time.AfterFunc(20*time.Millisecond, func() { close(release) })
	})
	k := once.Issue(l.settings.Self, 1, 1, time.Now())
	d, err := l.BeginKey(ctx, k, 1)
	assert.NilError(t, err)
	assert.Equal(t, d.Verdict, once.Run)
}
