package cmds

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"yuccadoor/io/edge"
)

const nodeText = `
node = "edge-1"
zone = "z"
seeds = ["%[3]s"]
[listen]
front_addr = "%[1]s"
ready = "%[2]s"
control_plane = "%[3]s"
[limits]
cpu_fraction = 0.4
[bounds]
grace_s = %[4]d
retry_window_s = 10
[platform]
address = "127.0.0.1:1"
`

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// SIGHUP once ended the process; it says that the settings file has changed.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	a, b, c := freeAddress(t), freeAddress(t), freeAddress(t)
	write := func(grace int) {
		assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, nodeText, a, b, c, grace), 0o600))
	}
	write(2)
	var out safeBuffer
	ended := make(chan int)
	admin := netip.MustParseAddrPort(freeAddress(t))
	go func() {
		ended <- Main([]string{"edge", "--node", path, "--admin-port", fmt.Sprint(admin.Port())}, &out, &out)
	}()
	await := func(text string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(out.String(), text) {
				return poll.Success()
			}
			return poll.Continue("%q is not logged", text)
		}, poll.WithTimeout(5*time.Second))
	}
	await("host started")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await("Cause=signal")
	write(1)
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Second)))
	await("Cause=file NeedsRestart=false Seeds=1 Grace=1s")
	assert.NilError(t, os.WriteFile(path, []byte("zone = 7"), 0o600))
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(2*time.Second)))
	await("settings rejected")
	// What is in force shows from outside, and what is wrong with the file.
	var s edge.Status
	assert.NilError(t, ask(t.Context(), admin, "/status", &s))
	assert.Equal(t, s.Settings.Cause, "file")
	assert.Equal(t, s.Settings.Grace, time.Second)
	assert.Assert(t, s.Settings.Read != s.Settings.InForce)
	assert.Equal(t, len(s.Settings.Findings), 1)
	assert.Assert(t, strings.Contains(s.Settings.Findings[0], path+":1:"), s.Settings.Findings[0])
	reply, err := http.Get("http://" + admin.String() + "/metrics")
	assert.NilError(t, err)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	assert.NilError(t, err)
	for _, line := range []string{
		"yuccadoor_settings_rejected 1", `yuccadoor_settings_reads_total{outcome="InForce"} 2`, `yuccadoor_settings_reads_total{outcome="Rejected"} 1`,
	} {
		assert.Assert(t, strings.Contains(string(text), line), "%s is not in %s", line, text)
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case status := <-ended:
		assert.Equal(t, status, 0)
	case <-time.After(5 * time.Second):
		t.Fatal("the host did not end")
	}
}

func TestCheckOfTheSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, nodeText, "front", "127.0.0.1:1", "127.0.0.1:2", 0), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, Main([]string{"edge", "--check", "--node", path}, &out, &errOut), 1)
	for _, finding := range []string{"listen.front_addr", "bounds.grace_s"} {
		assert.Assert(t, strings.Contains(errOut.String(), finding), errOut.String())
	}
}
