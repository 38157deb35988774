package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// program builds the program under test once.
func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "yuccadoor")
	c := exec.Command("go", "build", "-o", path, "yuccadoor/cmd/yuccadoor")
	c.Stderr = os.Stderr
	assert.NilError(t, c.Run())
	return path
}

// Each seed is a run that is played again in CI; what it found first stands
// beside it.
func TestSoak(t *testing.T) {
	path := program(t)
	for _, c := range []struct {
		seed  uint64
		found string
		only  []string
	}{
		{1, "nothing", nil},
		{4003, "a request without a body crashed servers 17 times", []string{crashing}},
	} {
		r, err := Run(context.Background(), Settings{Program: path, Hosts: 3, Seed: c.seed, Length: 6 * time.Second, Only: c.only})
		assert.NilError(t, err)
		assert.Equal(t, len(r.Findings), 0, "%v\n%v", r.Findings, r.Faults)
		assert.Assert(t, r.Served > r.Requests/4, "%d of %d served", r.Served, r.Requests)
	}
}

// The checks see promises that are broken on purpose.
func TestChecksSeeSeededFaults(t *testing.T) {
	path := program(t)
	for _, c := range []struct {
		tamper string
		only   string
		says   string
	}{
		{"Twice", "settings reloaded", "times"},
		{"Mixed", "settings reloaded", "got"},
		{"Cold", "server turns cold", "cold server-"},
		{"Left", leaving, "after it had left"},
		{"Left", speaking, "after it had left"},
		{"Crash", crashing, "crashed servers"},
		{"Quota", "settings reloaded", "the bounded workspace got"},
	} {
		t.Run(c.tamper+", "+c.only, func(t *testing.T) {
			t.Parallel()
			r, err := Run(context.Background(), Settings{
				Program: path, Hosts: 2, Seed: 2, Length: 10 * time.Second, Tamper: c.tamper, Only: []string{c.only},
			})
			assert.NilError(t, err)
			seen := slices.ContainsFunc(r.Findings, func(f string) bool { return strings.Contains(f, c.says) })
			assert.Assert(t, seen, "%s was not seen: %v", c.tamper, r.Faults)
		})
	}
}

// Each way of a proxy does what it says, to the caller that is meant.
func TestProxyHarmsConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() { // an echo
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	caller := netip.MustParseAddr("127.0.2.9")
	p, stop, err := newProxy(netip.MustParseAddrPort("127.0.0.1:0"), l.Addr().(*net.TCPAddr).AddrPort(), netip.Addr{}, helloFrom)
	assert.NilError(t, err)
	defer stop()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.address.String())
		assert.NilError(t, err)
		return c
	}
	// answered sends a hello of the caller and waits for the echo.
	answered := func(c net.Conn) (time.Duration, bool) {
		begun := time.Now()
		_, _ = c.Write([]byte(`{"From":"127.0.2.9:80"}`))
		_ = c.SetReadDeadline(begun.Add(time.Second))
		n, _ := c.Read(make([]byte, 100))
		return time.Since(begun), n > 0
	}
	c := dial()
	defer c.Close()
	_, ok := answered(c)
	assert.Assert(t, ok)
	p.set(caller, slow)
	took, ok := answered(c)
	assert.Assert(t, ok && took >= slowLink, "%s", took)
	p.set(netip.MustParseAddr("127.0.2.8"), silent)
	_, ok = answered(c)
	assert.Assert(t, ok, "another caller was silenced")
	p.set(caller, silent)
	_, ok = answered(c)
	assert.Assert(t, !ok)
	p.set(caller, sound)
	_, ok = answered(c)
	assert.Assert(t, ok)
	p.set(caller, broken)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "")
	_, ok = answered(dial())
	assert.Assert(t, !ok)
}
