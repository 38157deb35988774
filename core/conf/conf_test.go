package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/core/find"
)

const good = `
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

func TestExamplesAreValidAndHaveTheSizesOfToday(t *testing.T) {
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

func TestEveryFindingIsReportedWithItsPlace(t *testing.T) {
	cases := []struct {
		name     string
		from, to string
		want     []string
	}{
		{"unknown field", "Kind: Plain", "Kind: Plain\n    Color: red", []string{"12:5: unknown field Color"}},
		{"field twice", "Kind: Plain", "Kind: Plain\n    Kind: Plain", []string{"12:5: field Kind stands twice"}},
		{"two at once", "Slots: 2}", "Slots: x}", []string{"8:19: expected a int", "14:19: expected a int"}},
		{"wrong kind", "Kind: Plain", "Kind: Planar", []string{"11:11: expected ModelEngine or Plain"}},
		{"dangling name", "DependsOn: [lm]", "DependsOn: [none]", []string{`12:17: service "none" is not listed`}},
		{"cycle", "Models: [large]", "Models: [large]\n    DependsOn: [orders]", []string{"8:17: lm and orders depend", "13:17: orders and lm depend"}},
		{"cold above warm", "Warm: {Slots: 8}", "Warm: {Slots: 1}", []string{"less than a cold one's"}},
		{"impossible number", "Warm: {Slots: 8}", "Warm: {Slots: 8}\n    Deadline: -1s", []string{"10:15:", "expected a duration between"}},
		{"bad call", "POST /rolls", "rolls", []string{"13:21: expected METHOD /path"}},
		{"bad zone state", "State: Out", "State: Away", []string{"expected In or Out"}},
		{"unknown tier", "Tiers: [Order, Draft]", "Tiers: [Order, Best]", []string{`tier "Best" is not listed`}},
		{"bad digest", "KeyDigest: 2c", "KeyDigest: zz", []string{"expected 32 bytes in hex"}},
		{"not a mapping", "Cold: {Slots: 2}", "Cold: 2", []string{"8:11: expected fields"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			catalog, err := Parse("text", []byte(strings.ReplaceAll(good, c.from, c.to)), 1)
			assert.Assert(t, catalog == nil)
			list, ok := err.(find.List)
			assert.Assert(t, ok, "%v", err)
			for _, w := range c.want {
				assert.Assert(t, strings.Contains(list.Error(), w), "%q is not in:\n%s", w, list.Error())
			}
		})
	}
}

func TestTextOverTheBoundIsRejected(t *testing.T) {
	_, err := Parse("text", []byte(strings.Repeat("#", MaxConfigBytes+1)), 1)
	assert.ErrorContains(t, err, "1048577 bytes, over the bound of 1048576")
}

func FuzzParse(f *testing.F) {
	f.Add(good)
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
