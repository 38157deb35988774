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

// Limits and defaults of configuration values.
const (
	maxTiers             = 16
	maxSlots             = 4096
	maxDuration          = 24 * time.Hour
	defaultDeadline      = 60 * time.Second
	defaultSilence       = 10 * time.Second
	defaultWarmupResults = 8
	maxWarmupResults     = 1_000_000
	digestBytes          = 32
)

// Parse decodes and validates a configuration. On failure it returns a nil
// catalog and all errors at once, as a find.List.
func Parse(name string, text []byte, revision model.Revision) (*Catalog, error) {
	if len(text) > MaxConfigBytes {
		list := find.List{}
		list.Add(find.Position{Name: name}, "the configuration has %d bytes, more than the maximum of %d", len(text), MaxConfigBytes)
		return nil, list
	}
	d := &decoder{name: name, positions: map[string]find.Position{}}
	var t Config
	d.decode(text, &t)
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	c := &checker{decoder: d, config: &t}
	catalog := c.build(revision)
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	return catalog, nil
}

// checker validates a decoded configuration and builds its catalog.
type checker struct {
	*decoder
	config *Config
}

func (c *checker) addFinding(path, format string, args ...any) {
	c.findings.Add(c.positionOf(path), format, args...)
}

// build validates all sections and returns the catalog. Services must be built before
// their dependencies are checked, and tiers before workspaces.
func (c *checker) build(revision model.Revision) *Catalog {
	catalog := &Catalog{
		Revision:           revision,
		Services:           map[string]*Service{},
		Workspaces:         map[string]*Workspace{},
		WorkspacesByDigest: map[string]*Workspace{},
		zonesOut:           map[string]bool{},
	}
	c.buildTiers(catalog)
	c.buildZones(catalog)
	c.buildServices(catalog)
	c.checkDependencies(catalog)
	c.buildWorkspaces(catalog)
	return catalog
}

func (c *checker) buildTiers(catalog *Catalog) {
	if n := len(c.config.Tiers); n == 0 || n > maxTiers {
		c.addFinding("Tiers", "expected 1 to %d tiers, found %d", maxTiers, n)
	}
	for i, t := range c.config.Tiers {
		c.checkName(t.Name, fmt.Sprintf("Tiers[%d]", i), slices.Contains(catalog.Tiers, t.Name))
		catalog.Tiers = append(catalog.Tiers, t.Name)
	}
}

// checkName checks that a name is present, well-formed and unique.
func (c *checker) checkName(name, path string, duplicate bool) {
	if name == "" {
		c.addFinding(path, "field Name is missing")
	}
	if strings.ContainsAny(name, " /\t") {
		c.addFinding(path+".Name", "name %q contains a space, a tab or a slash", name)
	}
	if duplicate {
		c.addFinding(path+".Name", "duplicate name %q", name)
	}
}

func (c *checker) buildZones(catalog *Catalog) {
	seen := map[string]bool{}
	for i, z := range c.config.Zones {
		path := fmt.Sprintf("Zones[%d]", i)
		c.checkName(z.Name, path, seen[z.Name])
		seen[z.Name] = true
		switch z.State {
		case "", ZoneStateIn:
		case ZoneStateOut:
			catalog.zonesOut[z.Name] = true
		default:
			c.addFinding(path+".State", "expected In or Out, found %q", z.State)
		}
	}
}

func (c *checker) buildServices(catalog *Catalog) {
	if len(c.config.Services) == 0 {
		c.addFinding("Services", "no services are configured")
	}
	models := map[string]string{} // service by model
	for i := range c.config.Services {
		s := &Service{ServiceConfig: c.config.Services[i]}
		path := fmt.Sprintf("Services[%d]", i)
		c.checkName(s.Name, path, catalog.Services[s.Name] != nil)
		c.checkService(s, path)
		for j, m := range s.Models {
			if other, exists := models[m]; exists {
				c.addFinding(fmt.Sprintf("%s.Models[%d]", path, j), "model %q is already served by service %q", m, other)
			}
			models[m] = s.Name
		}
		catalog.Services[s.Name] = s
	}
}

func (c *checker) checkService(s *Service, path string) {
	if s.Kind != ModelEngine && s.Kind != Plain {
		c.addFinding(path+".Kind", "expected ModelEngine or Plain, found %q", s.Kind)
	}
	if s.Kind == ModelEngine && len(s.Models) == 0 {
		c.addFinding(path, "a ModelEngine service requires at least one entry in Models")
	}
	c.checkSlots(s.Cold.Slots, path+".Cold")
	c.checkSlots(s.Warm.Slots, path+".Warm")
	if s.Cold.Results == 0 {
		s.Cold.Results = defaultWarmupResults
	}
	if s.Cold.Results < 0 || s.Cold.Results > maxWarmupResults {
		c.addFinding(path+".Cold.Results", "expected 1 to %d Results, found %d", maxWarmupResults, s.Cold.Results)
	}
	if s.Warm.Slots < s.Cold.Slots {
		c.addFinding(path+".Warm", "Warm.Slots is %d, less than Cold.Slots, which is %d", s.Warm.Slots, s.Cold.Slots)
	}
	c.checkDuration(&s.Deadline, defaultDeadline, path+".Deadline")
	c.checkDuration(&s.Silence, defaultSilence, path+".Silence")
	if s.Objective.Share < 0 || s.Objective.Share > 1 {
		c.addFinding(path+".Objective.Share", "expected a share between 0 and 1, found %v", s.Objective.Share)
	}
	for i, call := range s.NonIdempotent {
		method, requestPath, ok := strings.Cut(call, " ")
		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(requestPath, "/") {
			c.addFinding(fmt.Sprintf("%s.NonIdempotent[%d]", path, i), "expected METHOD /path, found %q", call)
		}
	}
}

func (c *checker) checkSlots(n int, path string) {
	if n < 1 || n > maxSlots {
		c.addFinding(path, "expected 1 to %d Slots, found %d", maxSlots, n)
	}
}

func (c *checker) checkDuration(d *time.Duration, defaultValue time.Duration, path string) {
	if *d == 0 {
		*d = defaultValue
	}
	if *d < 0 || *d > maxDuration {
		c.addFinding(path, "expected a duration between 0 and %s, found %s", maxDuration, *d)
	}
}

// checkDependencies reports dependencies on unknown services and dependency cycles.
func (c *checker) checkDependencies(catalog *Catalog) {
	for i, s := range c.config.Services {
		for j, name := range s.DependsOn {
			path := fmt.Sprintf("Services[%d].DependsOn[%d]", i, j)
			if catalog.Services[name] == nil {
				c.addFinding(path, "unknown service %q", name)
				continue
			}
			if c.reaches(catalog, name, s.Name) {
				c.addFinding(path, "services %s and %s form a dependency cycle", s.Name, name)
			}
		}
	}
}

// reaches reports whether the service from depends on the service to, directly
// or transitively. A service reaches itself.
func (c *checker) reaches(catalog *Catalog, from, to string) bool {
	seen := map[string]bool{}
	queue := []string{from}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if name == to {
			return true
		}
		if seen[name] || catalog.Services[name] == nil {
			continue
		}
		seen[name] = true
		queue = append(queue, catalog.Services[name].DependsOn...)
	}
	return false
}

func (c *checker) buildWorkspaces(catalog *Catalog) {
	for i, w := range c.config.Workspaces {
		path := fmt.Sprintf("Workspaces[%d]", i)
		c.checkName(w.Name, path, catalog.Workspaces[w.Name] != nil)
		built := &Workspace{Name: w.Name, Share: max(w.Share, 1)}
		if w.Share < 0 {
			c.addFinding(path+".Share", "expected a share of at least 1, found %d", w.Share)
		}
		c.buildWorkspaceTiers(catalog, built, w, path)
		digest := strings.ToLower(w.KeyDigest)
		if raw, err := hex.DecodeString(digest); err != nil || len(raw) != digestBytes {
			c.addFinding(path+".KeyDigest", "expected %d bytes in hex", digestBytes)
		}
		if catalog.WorkspacesByDigest[digest] != nil {
			c.addFinding(path+".KeyDigest", "workspace %q has the same KeyDigest", catalog.WorkspacesByDigest[digest].Name)
		}
		catalog.Workspaces[w.Name] = built
		catalog.WorkspacesByDigest[digest] = built
	}
}

func (c *checker) buildWorkspaceTiers(catalog *Catalog, built *Workspace, w WorkspaceConfig, path string) {
	if len(w.Tiers) == 0 {
		c.addFinding(path, "a workspace requires at least one entry in Tiers")
	}
	for j, name := range w.Tiers {
		tier, ok := catalog.TierByName(name)
		if !ok {
			c.addFinding(fmt.Sprintf("%s.Tiers[%d]", path, j), "unknown tier %q", name)
		}
		built.Tiers = append(built.Tiers, tier)
		built.Default = tier
	}
}
