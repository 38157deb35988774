package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/core/find"
)

const validConfig = `
Tiers: [{Name: Order}, {Name: Draft}]
Zones: [{Name: a}, {Name: b, State: Out}]
Services:
  - Name: lm
    Kind: ModelEngine
    Models: [large]
    Cold: {Slots: 2}
    Warm: {Slots: 8}
  - Name: orders
    Kind: Plain
    DependsOn: [lm]
    NonIdempotent: [POST /rolls]
    Cold: {Slots: 2}
    Warm: {Slots: 8}
Workspaces:
  - Name: desk
    KeyDigest: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
    Tiers: [Order, Draft]
`

func TestExamplesAreValid(t *testing.T) {
	cases := []struct{ file, model, call string }{
		{"tape.yaml", "tape-large", "orders"},
		{"mantle.yaml", "notice-large", "portal"},
		{"local.yaml", "tape-large", "orders"},
	}
	for _, c := range cases {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", c.file))
		assert.NilError(t, err)
		catalog, err := Parse(c.file, text, 1)
		assert.NilError(t, err)
		assert.Equal(t, len(catalog.Workspaces), 5)
		_, served := catalog.ServiceForModel(c.model)
		assert.Assert(t, served)
		assert.Assert(t, len(catalog.Services[c.call].NonIdempotent) > 0)
	}
}

func TestEveryErrorIsReportedWithItsPosition(t *testing.T) {
	cases := []struct {
		name     string
		from, to string
		want     []string
	}{
		{"unknown field", "Kind: Plain", "Kind: Plain\n    Color: red", []string{"12:5: unknown field Color"}},
		{"duplicate field", "Kind: Plain", "Kind: Plain\n    Kind: Plain", []string{"12:5: duplicate field Kind"}},
		{"two errors", "Slots: 2}", "Slots: x}", []string{"8:19: expected a int", "14:19: expected a int"}},
		{"wrong kind", "Kind: Plain", "Kind: Planar", []string{"11:11: expected ModelEngine or Plain"}},
		{"unknown service", "DependsOn: [lm]", "DependsOn: [none]", []string{`12:17: unknown service "none"`}},
		{"cycle", "Models: [large]", "Models: [large]\n    DependsOn: [orders]", []string{"8:17: services lm and orders form a dependency cycle", "13:17: services orders and lm form a dependency cycle"}},
		{"cold above warm", "Warm: {Slots: 8}", "Warm: {Slots: 1}", []string{"Warm.Slots is 1, less than Cold.Slots, which is 2"}},
		{"negative duration", "Warm: {Slots: 8}", "Warm: {Slots: 8}\n    Deadline: -1s", []string{"10:15:", "expected a duration between"}},
		{"bad call", "POST /rolls", "rolls", []string{"13:21: expected METHOD /path"}},
		{"bad zone state", "State: Out", "State: Away", []string{"expected In or Out"}},
		{"unknown tier", "Tiers: [Order, Draft]", "Tiers: [Order, Best]", []string{`unknown tier "Best"`}},
		{"bad digest", "KeyDigest: 2c", "KeyDigest: zz", []string{"expected 32 bytes in hex"}},
		{"not a mapping", "Cold: {Slots: 2}", "Cold: 2", []string{"8:11: expected a mapping"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			catalog, err := Parse("text", []byte(strings.ReplaceAll(validConfig, c.from, c.to)), 1)
			assert.Assert(t, catalog == nil)
			list, ok := err.(find.List)
			assert.Assert(t, ok, "%v", err)
			for _, w := range c.want {
				assert.Assert(t, strings.Contains(list.Error(), w), "%q is not in:\n%s", w, list.Error())
			}
		})
	}
}

func TestOversizedConfigIsRejected(t *testing.T) {
	_, err := Parse("text", []byte(strings.Repeat("#", MaxConfigBytes+1)), 1)
	assert.ErrorContains(t, err, "1048577 bytes, more than the maximum of 1048576")
}

func FuzzParse(f *testing.F) {
	f.Add(validConfig)
	f.Add("Tiers: [")
	f.Add("a: &x {b: *x}")
	f.Add("Services: [{Cold: [1]}]")
	f.Fuzz(func(t *testing.T, text string) {
		catalog, err := Parse("text", []byte(text), 1)
		if (catalog == nil) == (err == nil) {
			t.Fatalf("catalog %v with error %v", catalog, err)
		}
	})
}
