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

// nodeSettings formats a settings file from the client-facing, readiness and peer
// addresses and the grace period in seconds.
const nodeSettings = `
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

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against SIGHUP terminating the process: the signal announces that the
// settings file has changed. Changes are also applied without it, and an invalid
// file is rejected.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	frontAddress, readyAddress, peerAddress := freeAddress(t), freeAddress(t), freeAddress(t)
	writeSettings := func(grace int) {
		assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, nodeSettings, frontAddress, readyAddress, peerAddress, grace), 0o600))
	}
	writeSettings(2)
	var out safeBuffer
	ended := make(chan int)
	adminAddress := netip.MustParseAddrPort(freeAddress(t))
	go func() {
		ended <- Main([]string{"edge", "--node", path, "--admin-port", fmt.Sprint(adminAddress.Port())}, &out, &out)
	}()
	waitForLog := func(text string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(out.String(), text) {
				return poll.Success()
			}
			return poll.Continue("%q is not logged yet", text)
		}, poll.WithTimeout(5*time.Second))
	}
	waitForLog("host started")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	waitForLog("Cause=signal")
	writeSettings(1)
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Second)))
	waitForLog("Cause=file NeedsRestart=false Seeds=1 Grace=1s")
	assert.NilError(t, os.WriteFile(path, []byte("zone = 7"), 0o600))
	assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(2*time.Second)))
	waitForLog("settings rejected")
	// The status shows the settings in force and the findings of the rejected file;
	// the metrics count both.
	var status edge.Status
	assert.NilError(t, fetchJSON(t.Context(), adminAddress, "/status", &status))
	assert.Equal(t, status.Settings.Cause, "file")
	assert.Equal(t, status.Settings.Grace, time.Second)
	assert.Assert(t, status.Settings.Read != status.Settings.InForce)
	assert.Equal(t, len(status.Settings.Findings), 1)
	assert.Assert(t, strings.Contains(status.Settings.Findings[0], path+":1:"), status.Settings.Findings[0])
	response, err := http.Get("http://" + adminAddress.String() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	for _, line := range []string{
		"yuccadoor_settings_rejected 1", `yuccadoor_settings_reads_total{outcome="InForce"} 2`, `yuccadoor_settings_reads_total{outcome="Rejected"} 1`,
	} {
		assert.Assert(t, strings.Contains(string(text), line), "%s is not in %s", line, text)
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case exitStatus := <-ended:
		assert.Equal(t, exitStatus, 0)
	case <-time.After(5 * time.Second):
		t.Fatal("the host did not stop")
	}
}

func TestCheckReportsAllFindingsOfTheSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, nodeSettings, "front", "127.0.0.1:1", "127.0.0.1:2", 0), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, Main([]string{"edge", "--check", "--node", path}, &out, &errOut), 1)
	for _, finding := range []string{"listen.front_addr", "bounds.grace_s"} {
		assert.Assert(t, strings.Contains(errOut.String(), finding), errOut.String())
	}
}
