// Package plat reads what the platform publishes: the operators' text from the
// configuration service and the list of hosts. It only ever reads.
package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/conf"
	"yuccadoor/core/model"
)

// Times and bounds of reading.
const (
	readTimeout   = 3 * time.Second
	watchWait     = 20 * time.Second // a watch is answered at the latest then
	maxListBytes  = 1 << 20
	maxReplyExtra = 4096
)

// PublishedConfig is one revision of the operators' text.
type PublishedConfig struct {
	Revision model.Revision
	Text     string
}

// Client reads the platform's services at fixed addresses.
type Client struct {
	config netip.AddrPort
	hosts  netip.AddrPort
	http   *http.Client
}

// New returns a client and its clean-up function.
func New(config, hosts netip.AddrPort) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: watchWait}
	return &Client{config: config, hosts: hosts, http: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

// Config reads the text if its revision is above the given one. With wait, the
// service holds the call until there is such a revision, for a bounded time.
// No newer revision is reported as nil without error.
func (c *Client) Config(ctx context.Context, after model.Revision, wait bool) (*PublishedConfig, error) {
	timeout, query := readTimeout, fmt.Sprintf("after=%d", after)
	if wait {
		timeout += watchWait
		query += "&wait=" + watchWait.String()
	}
	var p PublishedConfig
	ok, err := c.get(ctx, timeout, fmt.Sprintf("http://%s/config?%s", c.config, query), 2*conf.MaxTextBytes+maxReplyExtra, &p)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration service")
	}
	if !ok || p.Revision <= after {
		return nil, nil
	}
	return &p, nil
}

// Hosts reads the list of hosts and targets.
func (c *Client) Hosts(ctx context.Context) (*model.HostList, error) {
	var l model.HostList
	if _, err := c.get(ctx, readTimeout, fmt.Sprintf("http://%s/hosts", c.hosts), maxListBytes, &l); err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	return &l, nil
}

// get reads JSON; false when the service has nothing new.
func (c *Client) get(ctx context.Context, timeout time.Duration, url string, limit int64, into any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer reply.Body.Close()
	switch reply.StatusCode {
	case http.StatusOK:
		return true, json.NewDecoder(io.LimitReader(reply.Body, limit)).Decode(into)
	case http.StatusNotModified:
		return false, nil
	default:
		return false, errors.Errorf("status %d", reply.StatusCode)
	}
}
