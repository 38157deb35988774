// Package conf parses and validates the configuration: services, their
// dependencies, tiers, workspaces and availability zones. A configuration is
// either accepted as a whole, as an immutable Catalog, or rejected with a list
// of all its errors.
package conf

import (
	"maps"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// MaxConfigBytes is the maximum size of a configuration. The platform's
// key-value service stores values of up to one megabyte.
const MaxConfigBytes = 1 << 20

// Kind is the type of back end that a service runs on.
type Kind string

// The kinds of service.
const (
	ModelEngine Kind = "ModelEngine"
	Plain       Kind = "Plain"
)

// ZoneState specifies whether targets in an availability zone receive new requests.
type ZoneState string

// The states of an availability zone.
const (
	ZoneStateIn  ZoneState = "In"
	ZoneStateOut ZoneState = "Out"
)

// Config is a configuration as decoded from YAML, before validation.
type Config struct {
	Tiers      []TierConfig
	Zones      []ZoneConfig
	Services   []ServiceConfig
	Workspaces []WorkspaceConfig
}

// TierConfig configures one tier. Tiers are listed from the most to the least urgent.
type TierConfig struct {
	Name string
}

// ZoneConfig configures one availability zone.
type ZoneConfig struct {
	Name  string
	State ZoneState // defaults to In
}

// ServiceConfig configures one service.
type ServiceConfig struct {
	Name          string
	Kind          Kind
	DependsOn     []string
	Models        []string
	NonIdempotent []string       // calls that must run at most once, as "METHOD /path"
	ChecksFencing bool           // whether its targets reject requests with an outdated fencing token
	Cold          ColdConfig     // capacity of a target that has just started
	Warm          CapacityConfig // capacity of a warm target
	Deadline      time.Duration  // default time from a request's arrival to its deadline
	Silence       time.Duration  // maximum time without progress on a running answer
	Objective     ObjectiveConfig
}

// CapacityConfig sets how many requests a target may run concurrently.
type CapacityConfig struct {
	Slots int
}

// ColdConfig sets the capacity of a cold target and how it warms up. From the
// Results-th consecutive good result on, each good result raises the capacity by
// one, up to that of a warm target.
type ColdConfig struct {
	Slots   int
	Results int // defaults to 8
}

// ObjectiveConfig sets the latency objectives of a service.
type ObjectiveConfig struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Whole         time.Duration
	Share         float64 // fraction of requests that must meet them, between 0 and 1
}

// WorkspaceConfig configures one workspace: a customer whose callers share a key.
type WorkspaceConfig struct {
	Name      string
	KeyDigest string   // SHA-256 of its API key, in hex
	Tiers     []string // tiers that it may use; the last one is the default
	Share     int      // weight in fair sharing among workspaces
}

// Service is a validated service, with defaults filled in.
type Service struct {
	ServiceConfig
}

// Workspace is a validated workspace, with its tiers resolved.
type Workspace struct {
	Name    string
	Tiers   []model.Tier
	Default model.Tier
	Share   int
}

// Catalog is a validated configuration. It is immutable after Parse returns it.
type Catalog struct {
	Revision           model.Revision
	Tiers              []string
	Services           map[string]*Service
	Workspaces         map[string]*Workspace // by name
	WorkspacesByDigest map[string]*Workspace // by key digest, lower-case hex
	zonesOut           map[string]bool
}

// ZoneOut reports whether the availability zone is configured as Out.
func (c *Catalog) ZoneOut(zone string) bool { return c.zonesOut[zone] }

// ZonesOut returns the availability zones that are configured as Out, in
// alphabetical order.
func (c *Catalog) ZonesOut() []string {
	return slices.Sorted(maps.Keys(c.zonesOut))
}

// TierByName returns the tier with the given name.
func (c *Catalog) TierByName(name string) (model.Tier, bool) {
	for i, n := range c.Tiers {
		if n == name {
			return model.Tier(i), true
		}
	}
	return 0, false
}

// TierName returns the name of a tier, or "" if the tier is not configured.
func (c *Catalog) TierName(t model.Tier) string {
	if int(t) >= len(c.Tiers) {
		return ""
	}
	return c.Tiers[t]
}

// ServiceForModel returns the service that serves the given model.
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
