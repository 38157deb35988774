// Package conf reads the operators' text: services, their dependencies,
// tiers, workspaces and availability zones. A text is accepted whole or
// rejected with every finding; an accepted one is an immutable Catalog.
package conf

import (
	"maps"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// MaxConfigBytes bounds the operators' text: the platform's service holds values
// up to one megabyte.
const MaxConfigBytes = 1 << 20

// Kind is what stands behind a service.
type Kind string

// The kinds of service.
const (
	ModelEngine Kind = "ModelEngine"
	Plain       Kind = "Plain"
)

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneStateIn  ZoneState = "In"
	ZoneStateOut ZoneState = "Out"
)

// Config is the operators' text as written.
type Config struct {
	Tiers      []TierConfig
	Zones      []ZoneConfig
	Services   []ServiceConfig
	Workspaces []WorkspaceConfig
}

// TierConfig names one tier; the order of the list is the order of urgency.
type TierConfig struct {
	Name string
}

// ZoneConfig is one availability zone.
type ZoneConfig struct {
	Name  string
	State ZoneState // default In
}

// ServiceConfig is one service and what it needs.
type ServiceConfig struct {
	Name          string
	Kind          Kind
	DependsOn     []string
	Models        []string
	NonIdempotent []string       // "METHOD /path" of calls that run at most once
	ChecksFencing bool           // whether its targets refuse an old fencing number
	Cold          ColdConfig     // what a target that has just started bears
	Warm          CapacityConfig // what a warmed target bears
	Deadline      time.Duration  // default patience of a request
	Silence       time.Duration  // longest wait for progress on a running answer
	Objective     ObjectiveConfig
}

// CapacityConfig is the number of requests that a target bears at once.
type CapacityConfig struct {
	Slots int
}

// ColdConfig is what a cold target bears, and how it warms: after Results good
// results in a row it bears one request more with each further one, up to the
// warm limit.
type ColdConfig struct {
	Slots   int
	Results int // default 8
}

// ObjectiveConfig is a service-level objective.
type ObjectiveConfig struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Whole         time.Duration
	Share         float64 // of requests, between 0 and 1
}

// WorkspaceConfig is one customer of the callers' side.
type WorkspaceConfig struct {
	Name      string
	KeyDigest string   // SHA-256 of its key, in hex
	Tiers     []string // tiers that it may ask for; the last is its default
	Share     int      // weight against other workspaces
}

// Service is one service of an accepted text.
type Service struct {
	ServiceConfig
}

// Workspace is one workspace of an accepted text.
type Workspace struct {
	Name    string
	Tiers   []model.Tier
	Default model.Tier
	Share   int
}

// Catalog is an accepted text. It is never changed after Parse returns it.
type Catalog struct {
	Revision           model.Revision
	Tiers              []string
	Services           map[string]*Service
	Workspaces         map[string]*Workspace // by name
	WorkspacesByDigest map[string]*Workspace // by key digest, lower-case hex
	zonesOut           map[string]bool
}

// ZoneOut reports whether operators have taken the availability zone out.
func (c *Catalog) ZoneOut(zone string) bool { return c.zonesOut[zone] }

// ZonesOut lists the availability zones that operators have taken out.
func (c *Catalog) ZonesOut() []string {
	return slices.Sorted(maps.Keys(c.zonesOut))
}

// TierByName returns the tier of that name.
func (c *Catalog) TierByName(name string) (model.Tier, bool) {
	for i, n := range c.Tiers {
		if n == name {
			return model.Tier(i), true
		}
	}
	return 0, false
}

// TierName gives the name of a tier.
func (c *Catalog) TierName(t model.Tier) string {
	if int(t) >= len(c.Tiers) {
		return ""
	}
	return c.Tiers[t]
}

// ServiceForModel returns the service whose targets serve the named model.
func (c *Catalog) ServiceForModel(name string) (*Service, bool) {
	for _, s := range c.Services {
		for _, m := range s.Models {
			if m == name {
				return s, true
			}
		}
	}
	return nil, false
}
