package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
)

func config() *Config {
	return (&Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/"},
			{Name: "long", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "i", Prefix: "/a/"},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}).Index()
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/bx", "short"},
		{"i", "/a/b/x", "other"},
		{"h", "/a", ""},
		{"h", "/", ""},
		{"j", "/a/x", ""},
	} {
		got := ""
		if r := config().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestKeys(t *testing.T) {
	c := config()
	assert.Equal(t, c.WorkspaceForKey("k2").Name, "w")
	assert.Assert(t, c.WorkspaceForKey("k3") == nil)
	assert.Assert(t, c.WorkspaceForKey("") == nil)
	assert.Assert(t, c.NeedsKey(&Route{}))
	assert.Assert(t, !c.NeedsKey(&Route{Public: true}))
}

func TestIdempotent(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		assert.Equal(t, c.route.Idempotent(), c.want, "%+v", c.route)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	got := map[string]int{}
	for i := range uint64(1000) {
		got[r.ServiceFor(i)]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": 900, "b": 100})
}

func TestTierOf(t *testing.T) {
	workspaceTier := model.Tier(2)
	assert.Equal(t, TierOf(&Route{Tier: 1}, nil), model.Tier(1))
	assert.Equal(t, TierOf(&Route{Tier: 1}, &Workspace{}), model.Tier(1))
	assert.Equal(t, TierOf(&Route{Tier: 1}, &Workspace{Tier: &workspaceTier}), workspaceTier)
}
