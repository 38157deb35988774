// Package routes holds the routing configuration that a deployment's operators
// publish: which requests exist, which service answers each, what may be
// repeated, and which workspaces may ask. A Config is immutable once indexed.
package routes

import (
	"slices"
	"strings"
	"time"

	"yuccadoor/core/model"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "Safe"   // may run more than once
	Unsafe Kind = "Unsafe" // runs at most once
	Stream Kind = "Stream" // a series of events; runs at most once unless resumable
)

// Route is one entry of the routing table.
type Route struct {
	Name        string
	Host        string
	Prefix      string // of the path; begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request is kept
	Objective   time.Duration // to the answer, of a stream to its first event
	Pause       time.Duration // longest pause between two events that is in time
	Tier        model.Tier
	Shares      []Share // services that answer, by weight
	MaxAttempts int     // targets to which one request may be sent
	Public      bool    // asked without a key
	Resumable   bool    // a stream that another target can go on with
}

// Share is the part of a route's requests that one service answers.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ServiceFor picks the service that answers the request with this mark; marks
// are spread evenly, so that shares are kept on average.
func (r *Route) ServiceFor(mark uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	at := int(mark % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Service is what stands behind routes: targets of one kind.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int           // connections that one target accepts from all hosts
	ColdStart     time.Duration // after a target's start
	ColdPerSecond float64       // requests a second that a cold target bears; 0 for no bound
	Engine        bool          // a model engine that batches
	Slots         int           // requests in one batch of an engine; 0 if not declared
	TokensInEvent int           // of an engine's stream; 0 if not declared
}

// Workspace is one customer of the callers' side.
type Workspace struct {
	Name      string
	Keys      []string
	Tier      *model.Tier // overrides the route's, if set
	Allowance Allowance
}

// Allowance bounds what a workspace may ask over all hosts.
type Allowance struct {
	PerSecond  float64 // 0 for no bound
	Burst      float64
	InTokens   bool    // counted in tokens, else in requests
	PlainCount float64 // tokens of a request that names no number
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a caller's kept connection
}

// Config is one version of the whole configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace

	byHost   map[string][]*Route // longest prefix first
	services map[string]*Service
	byKey    map[string]*Workspace
}

// Index prepares the look-ups. It is called once, before the config is shared.
func (c *Config) Index() *Config {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.services = map[string]*Service{}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			c.byKey[k] = &c.Workspaces[i]
		}
	}
	return c
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// WorkspaceForKey returns the workspace that holds a key, or nil.
func (c *Config) WorkspaceForKey(key string) *Workspace { return c.byKey[key] }

// NeedsKey reports whether a request of the route must carry a key.
func (c *Config) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// TierOf gives a request's tier: the workspace's goes before the route's.
func TierOf(r *Route, w *Workspace) model.Tier {
	if w != nil && w.Tier != nil {
		return *w.Tier
	}
	return r.Tier
}
