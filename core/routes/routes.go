// Package routes holds the routing configuration that a deployment's operators
// publish: the routes, the services behind them, which requests may be retried, and
// which workspaces have access. A Config is immutable once indexed. Package conf is
// the counterpart for the serve command.
package routes

import (
	"slices"
	"strings"
	"time"

	"yuccadoor/core/model"
)

// Kind says whether the requests of a route may be retried.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "Safe"   // may run more than once
	Unsafe Kind = "Unsafe" // runs at most once
	Stream Kind = "Stream" // an event stream; runs at most once unless resumable
)

// Route is an entry of the routing table.
type Route struct {
	Name        string
	Host        string
	Prefix      string // path prefix; begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum time that a request is kept
	Objective   time.Duration // latency objective, to the response or to a stream's first event
	Pause       time.Duration // objective for the gap between two stream events
	Tier        model.Tier
	Shares      []Share // weighted split of the requests over services
	MaxAttempts int     // maximum number of targets that one request is sent to
	Public      bool    // needs no API key
	Resumable   bool    // another target can continue an interrupted stream
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// ServiceFor picks the service for a request by the request's hash. Hashes are
// uniformly distributed, so that the split follows the weights on average.
func (r *Route) ServiceFor(hash uint64) string {
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
	offset := int(hash % uint64(total))
	for _, s := range r.Shares {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return ""
}

// Service describes a group of interchangeable targets.
type Service struct {
	Name          string
	HealthPath    string
	MaxConns      int           // limit of connections to one target, summed over all hosts
	ColdStart     time.Duration // duration of the cold phase after a target's start
	ColdPerSecond float64       // request rate limit of a cold target; 0 for no limit
	Engine        bool          // the targets are model engines that batch requests
	Slots         int           // batch size of an engine; 0 if not declared
	TokensInEvent int           // tokens in one event of an engine's stream; 0 if not declared
}

// Workspace is a customer, identified by its API keys.
type Workspace struct {
	Name      string
	Keys      []string
	Tier      *model.Tier // overrides the route's tier if set
	Allowance Allowance
}

// Allowance is the rate limit of a workspace, enforced over all hosts.
type Allowance struct {
	PerSecond  float64 // 0 for no limit
	Burst      float64
	InTokens   bool    // measured in tokens, otherwise in requests
	PlainCount float64 // tokens charged for a request that does not declare a token count
}

// Limits restrict what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // for idle keep-alive connections of clients
}

// Config is one version of the complete configuration.
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

// Index builds the lookup tables and returns c. It must be called once, before the
// config is shared between goroutines.
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

// Match returns the route of the host whose prefix is the longest match for the
// path, or nil.
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

// WorkspaceForKey returns the workspace that owns an API key, or nil.
func (c *Config) WorkspaceForKey(key string) *Workspace { return c.byKey[key] }

// NeedsKey reports whether requests of the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// TierOf returns the tier of a request: the workspace's if set, otherwise the
// route's.
func TierOf(r *Route, w *Workspace) model.Tier {
	if w != nil && w.Tier != nil {
		return *w.Tier
	}
	return r.Tier
}
