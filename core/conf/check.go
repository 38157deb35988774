package conf

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"yuccadoor/core/find"
	"yuccadoor/core/model"
)

// Limits and defaults of the operators' text.
const (
	maxTiers        = 16
	maxSlots        = 4096
	maxPatience     = 24 * time.Hour
	defaultDeadline = 60 * time.Second
	defaultSilence  = 10 * time.Second
	defaultResults  = 8
	maxResults      = 1_000_000
	digestBytes     = 32
)

// Parse reads an operators' text. Every finding is returned together, as a
// find.List; the catalog is nil unless there is none.
func Parse(name string, text []byte, revision model.Revision) (*Catalog, error) {
	if len(text) > MaxConfigBytes {
		list := find.List{}
		list.Add(find.Position{Name: name}, "the text has %d bytes, over the bound of %d", len(text), MaxConfigBytes)
		return nil, list
	}
	d := &decoder{name: name, places: map[string]find.Position{}}
	var t Config
	d.decode(text, &t)
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	c := &checker{decoder: d, text: &t}
	catalog := c.build(revision)
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	return catalog, nil
}

type checker struct {
	*decoder
	text *Config
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.Add(c.at(path), format, args...)
}

func (c *checker) build(revision model.Revision) *Catalog {
	catalog := &Catalog{
		Revision:           revision,
		Services:           map[string]*Service{},
		Workspaces:         map[string]*Workspace{},
		WorkspacesByDigest: map[string]*Workspace{},
		zonesOut:           map[string]bool{},
	}
	c.tiers(catalog)
	c.zones(catalog)
	c.services(catalog)
	c.dependencies(catalog)
	c.workspaces(catalog)
	return catalog
}

func (c *checker) tiers(catalog *Catalog) {
	if n := len(c.text.Tiers); n == 0 || n > maxTiers {
		c.add("Tiers", "expected 1 to %d tiers, found %d", maxTiers, n)
	}
	for i, t := range c.text.Tiers {
		c.named(t.Name, fmt.Sprintf("Tiers[%d]", i), slices.Contains(catalog.Tiers, t.Name))
		catalog.Tiers = append(catalog.Tiers, t.Name)
	}
}

// named checks that a name is given and not taken.
func (c *checker) named(name, path string, taken bool) {
	if name == "" {
		c.add(path, "a Name is missing")
	}
	if strings.ContainsAny(name, " /\t") {
		c.add(path+".Name", "the name %q holds a space or slash", name)
	}
	if taken {
		c.add(path+".Name", "the name %q stands twice", name)
	}
}

func (c *checker) zones(catalog *Catalog) {
	seen := map[string]bool{}
	for i, z := range c.text.Zones {
		path := fmt.Sprintf("Zones[%d]", i)
		c.named(z.Name, path, seen[z.Name])
		seen[z.Name] = true
		switch z.State {
		case "", ZoneStateIn:
		case ZoneStateOut:
			catalog.zonesOut[z.Name] = true
		default:
			c.add(path+".State", "expected In or Out, found %q", z.State)
		}
	}
}

func (c *checker) services(catalog *Catalog) {
	if len(c.text.Services) == 0 {
		c.add("Services", "no service is listed")
	}
	models := map[string]string{}
	for i := range c.text.Services {
		s := &Service{ServiceConfig: c.text.Services[i]}
		path := fmt.Sprintf("Services[%d]", i)
		c.named(s.Name, path, catalog.Services[s.Name] != nil)
		c.service(s, path)
		for j, m := range s.Models {
			if other, taken := models[m]; taken {
				c.add(fmt.Sprintf("%s.Models[%d]", path, j), "model %q already belongs to service %q", m, other)
			}
			models[m] = s.Name
		}
		catalog.Services[s.Name] = s
	}
}

func (c *checker) service(s *Service, path string) {
	if s.Kind != ModelEngine && s.Kind != Plain {
		c.add(path+".Kind", "expected ModelEngine or Plain, found %q", s.Kind)
	}
	if s.Kind == ModelEngine && len(s.Models) == 0 {
		c.add(path, "a ModelEngine service lists its Models")
	}
	c.slots(s.Cold.Slots, path+".Cold")
	c.slots(s.Warm.Slots, path+".Warm")
	if s.Cold.Results == 0 {
		s.Cold.Results = defaultResults
	}
	if s.Cold.Results < 0 || s.Cold.Results > maxResults {
		c.add(path+".Cold.Results", "expected 1 to %d Results, found %d", maxResults, s.Cold.Results)
	}
	if s.Warm.Slots < s.Cold.Slots {
		c.add(path+".Warm", "a warm target bears %d, less than a cold one's %d", s.Warm.Slots, s.Cold.Slots)
	}
	c.duration(&s.Deadline, defaultDeadline, path+".Deadline")
	c.duration(&s.Silence, defaultSilence, path+".Silence")
	if s.Objective.Share < 0 || s.Objective.Share > 1 {
		c.add(path+".Objective.Share", "expected a share between 0 and 1, found %v", s.Objective.Share)
	}
	for i, call := range s.NonIdempotent {
		method, target, ok := strings.Cut(call, " ")
		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(target, "/") {
			c.add(fmt.Sprintf("%s.NonIdempotent[%d]", path, i), "expected METHOD /path, found %q", call)
		}
	}
}

func (c *checker) slots(n int, path string) {
	if n < 1 || n > maxSlots {
		c.add(path, "expected 1 to %d Slots, found %d", maxSlots, n)
	}
}

func (c *checker) duration(d *time.Duration, fallback time.Duration, path string) {
	if *d == 0 {
		*d = fallback
	}
	if *d < 0 || *d > maxPatience {
		c.add(path, "expected a duration between 0 and %s, found %s", maxPatience, *d)
	}
}

// dependencies finds dangling names and cycles.
func (c *checker) dependencies(catalog *Catalog) {
	for i, s := range c.text.Services {
		for j, name := range s.DependsOn {
			path := fmt.Sprintf("Services[%d].DependsOn[%d]", i, j)
			if catalog.Services[name] == nil {
				c.add(path, "service %q is not listed", name)
				continue
			}
			if cycle := c.cycle(catalog, s.Name, name); cycle {
				c.add(path, "%s and %s depend on each other in a cycle", s.Name, name)
			}
		}
	}
}

// cycle reports whether from is reached from the service named at.
func (c *checker) cycle(catalog *Catalog, from, at string) bool {
	seen := map[string]bool{}
	next := []string{at}
	for len(next) > 0 {
		name := next[0]
		next = next[1:]
		if name == from {
			return true
		}
		if seen[name] || catalog.Services[name] == nil {
			continue
		}
		seen[name] = true
		next = append(next, catalog.Services[name].DependsOn...)
	}
	return false
}

func (c *checker) workspaces(catalog *Catalog) {
	for i, w := range c.text.Workspaces {
		path := fmt.Sprintf("Workspaces[%d]", i)
		c.named(w.Name, path, catalog.Workspaces[w.Name] != nil)
		built := &Workspace{Name: w.Name, Share: max(w.Share, 1)}
		if w.Share < 0 {
			c.add(path+".Share", "expected a share of at least 1, found %d", w.Share)
		}
		c.rights(catalog, built, w, path)
		digest := strings.ToLower(w.KeyDigest)
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != digestBytes {
			c.add(path+".KeyDigest", "expected %d bytes in hex", digestBytes)
		}
		if catalog.WorkspacesByDigest[digest] != nil {
			c.add(path+".KeyDigest", "workspace %q has the same key", catalog.WorkspacesByDigest[digest].Name)
		}
		catalog.Workspaces[w.Name] = built
		catalog.WorkspacesByDigest[digest] = built
	}
}

func (c *checker) rights(catalog *Catalog, built *Workspace, w WorkspaceConfig, path string) {
	if len(w.Tiers) == 0 {
		c.add(path, "a workspace lists the Tiers that it may ask for")
	}
	for j, name := range w.Tiers {
		tier, ok := catalog.TierByName(name)
		if !ok {
			c.add(fmt.Sprintf("%s.Tiers[%d]", path, j), "tier %q is not listed", name)
		}
		built.Tiers = append(built.Tiers, tier)
		built.Default = tier
	}
}
