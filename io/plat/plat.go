// Package plat is a read-only client of the platform's configuration service and
// host list.
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
	"yuccadoor/io/reply"
)

// Timeouts and size limits of requests to the platform.
const (
	readTimeout      = 3 * time.Second
	watchWait        = 20 * time.Second // a watch returns after this time at the latest
	maxListBytes     = 1 << 20
	maxReplyOverhead = 4096 // reply bytes besides the escaped configuration
)

// PublishedConfig is one revision of the operators' configuration.
type PublishedConfig struct {
	Revision model.Revision
	Text     string
}

// Client reads from the platform's services at fixed addresses.
type Client struct {
	config netip.AddrPort
	hosts  netip.AddrPort
	http   *http.Client
}

// New returns a client and its cleanup function.
func New(config, hosts netip.AddrPort) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: watchWait}
	return &Client{config: config, hosts: hosts, http: &http.Client{Transport: reply.Transport{RoundTripper: transport}}}, transport.CloseIdleConnections
}

// Config reads the configuration if its revision is greater than after, and returns
// nil without an error if there is no newer one. With wait, the service delays the
// response until there is one, for at most watchWait.
func (c *Client) Config(ctx context.Context, after model.Revision, wait bool) (*PublishedConfig, error) {
	timeout, query := readTimeout, fmt.Sprintf("after=%d", after)
	if wait {
		timeout += watchWait
		query += "&wait=" + watchWait.String()
	}
	var p PublishedConfig
	ok, err := c.get(ctx, timeout, fmt.Sprintf("http://%s/config?%s", c.config, query), 2*conf.MaxConfigBytes+maxReplyOverhead, &p)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration service")
	}
	if !ok || p.Revision <= after {
		return nil, nil
	}
	return &p, nil
}

// Hosts reads the list of entry hosts and targets.
func (c *Client) Hosts(ctx context.Context) (*model.HostList, error) {
	var l model.HostList
	if _, err := c.get(ctx, readTimeout, fmt.Sprintf("http://%s/hosts", c.hosts), maxListBytes, &l); err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	return &l, nil
}

// get decodes a JSON response. It returns false if the service answers 304 Not
// Modified.
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
