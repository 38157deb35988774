package cmds

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/spread"
	"yuccadoor/core/warmup"
	"yuccadoor/io/coord"
	"yuccadoor/io/edge"
	"yuccadoor/io/logs"
	"yuccadoor/platform"
)

type edgeCommand struct {
	Node       string `help:"Settings file written by the platform; by default at the path that the platform sets."`
	AdminPort  uint16 `help:"Port of the admin listener; 0 for none." default:"0"`
	LogLevel   string `help:"Lowest level of log lines: debug, info, warn or error." default:"info"`
	PeerListen string `help:"Address to listen on for other hosts, if it differs from the address in the settings file, which they connect to."`
	Policy     string `help:"Policy that chooses targets: broker, or for measurements without coordination round-robin, least or two-choices." default:"broker" enum:"broker,round-robin,least,two-choices"`
	SlowStart  string `help:"How targets that start or recover are limited, where targets state how long work takes on their machines: off, responses (by how they respond) or time (linearly over 10 s)." default:"off" enum:"off,responses,time"`
	Check      bool   `help:"Only check the settings file and report every finding."`
}

// slowStarts maps the values of --slow-start.
var slowStarts = map[string]warmup.Method{"off": warmup.None, "responses": warmup.ByResponses, "time": warmup.ByTime}

// Run runs an entry host on the users' platform until the process is interrupted or
// terminated, then stops it gracefully.
func (c *edgeCommand) Run(e *env) error {
	// Registered first, because an unhandled SIGHUP terminates the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if c.Node == "" {
		c.Node = platform.NodeSettingsPath()
	}
	node, _, err := platform.LoadNodeSettings(c.Node)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(e.out, "%s: no findings\n", c.Node)
		return nil
	}
	node.Edge.LogLevel = c.LogLevel
	if p := spread.Policy(c.Policy); p.Valid() {
		node.Edge.LocalPolicy = p
	}
	node.Edge.SlowStart = slowStarts[c.SlowStart]
	if c.PeerListen != "" {
		if node.Edge.PeerListen, err = netip.ParseAddrPort(c.PeerListen); err != nil {
			return errors.Wrap(err, "read --peer-listen")
		}
	}
	if c.AdminPort != 0 {
		node.Edge.Admin = netip.AddrPortFrom(node.Edge.Peer.Addr(), c.AdminPort)
	}
	ctx := context.WithoutCancel(e.ctx)
	h, cleanup, err := edge.New(ctx, node.Edge, edge.Options{
		LogTo: e.out, Dialect: platform.Dialect{}, Source: storeSource(node),
		ListParts: platform.NewPartsReader(nil).Read,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	stop := c.watch(h, signals)
	<-e.ctx.Done()
	stop()
	return h.Stop(ctx)
}

// settingsPollInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// watch reloads the settings file on SIGHUP and when its modification time changes.
// It returns the function that stops watching.
func (c *edgeCommand) watch(h *edge.Host, signals <-chan os.Signal) func() {
	stop := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		lastModified := c.modifiedAt()
		for {
			select {
			case <-stop:
				return
			case <-signals:
				lastModified = c.modifiedAt()
				c.reload(h, "signal")
			case <-ticker.C:
				if modified := c.modifiedAt(); !modified.Equal(lastModified) {
					lastModified = modified
					c.reload(h, "file")
				}
			}
		}
	}()
	return func() { close(stop) }
}

// modifiedAt returns the modification time of the settings file, or zero if the file
// cannot be examined; reload reports why.
func (c *edgeCommand) modifiedAt() time.Time {
	info, err := os.Stat(c.Node)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies it. A file with findings is rejected as
// a whole.
func (c *edgeCommand) reload(h *edge.Host, cause string) {
	node, digest, err := platform.LoadNodeSettings(c.Node)
	read := edge.SettingsRead{Cause: cause, Digest: digest}
	if err != nil {
		h.RejectSettings(read, err)
		return
	}
	h.Reload(read, node.Edge)
}

// storeSource returns a source that reads the platform's store.
func storeSource(node *platform.NodeSettings) edge.SourceFunc {
	return func(ctx context.Context, feed *coord.Coordinator, log *logs.Log) (edge.Reader, func()) {
		return platform.NewStoreReader(ctx, platform.StoreSettings{Address: node.Store, ApplyWithin: node.Edge.ApplyWithin}, feed, log, time.Now)
	}
}
