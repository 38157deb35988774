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
	"yuccadoor/io/coord"
	"yuccadoor/io/edge"
	"yuccadoor/io/logs"
	"yuccadoor/platform"
)

type edgeCommand struct {
	Node       string `help:"Settings file that the platform writes; by default where it says that it is."`
	AdminPort  uint16 `help:"Port on which operators are served; 0 for none." default:"0"`
	LogLevel   string `help:"Least level of log lines: debug, info, warn or error." default:"info"`
	PeerListen string `help:"Address on which other hosts are served, if they reach it at another one than the settings file names."`
	Policy     string `help:"How targets are chosen: broker, or for measuring without coordination round-robin, least or two-choices." default:"broker" enum:"broker,round-robin,least,two-choices"`
	Check      bool   `help:"Only check the settings file and report every finding."`
}

// Run runs an entry host on the users' platform until it is told to stop, then
// ends gracefully.
func (c *edgeCommand) Run(e *env) error {
	// From the start on: unhandled, the signal would end the process.
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
		node.Edge.Spread = p
	}
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

// lookPeriod is the time between two looks at the settings file, which may change
// without a signal.
const lookPeriod = 2 * time.Second

// watch reads the settings file again on SIGHUP and when it has changed. It
// returns the clean-up function.
func (c *edgeCommand) watch(h *edge.Host, signals <-chan os.Signal) func() {
	stop := make(chan struct{})
	go func() {
		look := time.NewTicker(lookPeriod)
		defer look.Stop()
		changed := c.changedAt()
		for {
			select {
			case <-stop:
				return
			case <-signals:
				changed = c.changedAt()
				c.reload(h, "signal")
			case <-look.C:
				if at := c.changedAt(); !at.Equal(changed) {
					changed = at
					c.reload(h, "file")
				}
			}
		}
	}()
	return func() { close(stop) }
}

// changedAt is when the settings file was last written; zero if that cannot be
// told, which reload reports.
func (c *edgeCommand) changedAt() time.Time {
	info, err := os.Stat(c.Node)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings file anew; one with findings changes nothing.
func (c *edgeCommand) reload(h *edge.Host, cause string) {
	node, digest, err := platform.LoadNodeSettings(c.Node)
	read := edge.SettingsRead{Cause: cause, Digest: digest}
	if err != nil {
		h.RejectSettings(read, err)
		return
	}
	h.Reload(read, node.Edge)
}

func storeSource(node *platform.NodeSettings) edge.SourceFunc {
	return func(ctx context.Context, feed *coord.Coordinator, log *logs.Log) (edge.Reader, func()) {
		return platform.NewStoreReader(ctx, platform.StoreSettings{Address: node.Store}, feed, log, time.Now)
	}
}
