package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/io/front"
	"yuccadoor/io/local"
)

// testTimeout bounds a test that hangs.
const testTimeout = 90 * time.Second

// cluster is a system whose hosts, platform and targets run as separate processes.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	binary   string
	platform netip.AddrPort
	fronts   []netip.AddrPort
	admins   []netip.AddrPort
	peers    []netip.AddrPort
	hosts    []*exec.Cmd
}

// startCluster builds the program, starts the processes of a system and waits until
// both hosts are ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	dir := t.TempDir()
	c := &cluster{t: t, ctx: ctx, binary: filepath.Join(dir, "yuccadoor")}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", c.binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	addresses, err := local.FreeAddresses(9)
	assert.NilError(t, err)
	c.platform, c.fronts, c.peers, c.admins = addresses[0], addresses[1:3], addresses[3:5], addresses[5:7]
	engine, plain := addresses[7], addresses[8]

	list := model.HostList{Targets: []model.Target{
		{Address: engine, Service: "tape-lm", Zone: "a", State: model.Live},
		{Address: plain, Service: "orders", Zone: "b", State: model.Live},
	}}
	for i, zone := range []string{"a", "b"} {
		list.Hosts = append(list.Hosts, model.Host{Front: c.fronts[i], Peer: c.peers[i], Zone: zone, State: model.Live})
	}
	listJSON, err := json.Marshal(list)
	assert.NilError(t, err)
	listFile := filepath.Join(dir, "hosts.json")
	assert.NilError(t, os.WriteFile(listFile, listJSON, 0o600))
	configFile := filepath.Join("..", "..", "examples", "local.yaml")

	c.run("fake", "platform", "--listen", c.platform.String(), "--text", configFile, "--list", listFile)
	c.run("fake", "engine", "--listen", engine.String())
	c.run("fake", "plain", "--listen", plain.String(), "--work", "50ms")
	c.hosts = []*exec.Cmd{c.startHost(0, "a"), c.startHost(1, "b")}
	c.eventually("both hosts are ready", func() bool { return c.ready(0) && c.ready(1) })
	return c
}

// run starts a process and kills it when the test ends.
func (c *cluster) run(arguments ...string) *exec.Cmd {
	process := exec.Command(c.binary, arguments...)
	assert.NilError(c.t, process.Start())
	c.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

// startHost starts the process of host i.
func (c *cluster) startHost(i int, zone string) *exec.Cmd {
	return c.run("serve", "--zone", zone, "--front", c.fronts[i].String(), "--peer", c.peers[i].String(),
		"--admin", c.admins[i].String(), "--config", c.platform.String(), "--hosts", c.platform.String(), "--log-level", "error")
}

// eventually polls ok until it returns true, and fails the test at its timeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for !ok() {
		if c.ctx.Err() != nil {
			c.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready reports whether host i is ready.
func (c *cluster) ready(i int) bool {
	response, err := http.Get("http://" + c.admins[i].String() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a request and returns its status, or 0 without a response, and the
// problem document of a refusal. The header holds alternating names and values.
func (c *cluster) send(host int, method, path, body string, header ...string) (int, front.Problem) {
	request, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.fronts[host].String()+path, bytes.NewBufferString(body))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer desk-key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	var p front.Problem
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, p
	}
	defer response.Body.Close()
	document, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(document, &p)
	return response.StatusCode, p
}

// servesRequests reports whether a host serves a request to the plain service.
func (c *cluster) servesRequests(host int) bool {
	status, _ := c.send(host, http.MethodGet, "/services/orders/stock", "")
	return status == http.StatusOK
}

func TestSystemOfProcessesSurvivesPauseKillAndGracefulStop(t *testing.T) {
	c := startCluster(t)
	for i := range 6 {
		assert.Assert(t, c.servesRequests(i%2))
	}
	body := `{"model":"tape-large","messages":[{"role":"user","content":"hem"}],"max_tokens":2}`
	status, p := c.send(1, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, status, http.StatusOK, "%v", p)

	// Host 0 is paused for longer than its peers take to consider it dead, with an
	// unread request, and resumes with an outdated view of the system.
	assert.NilError(t, c.hosts[0].Process.Signal(syscall.SIGSTOP))
	late := make(chan int, 1)
	go func() {
		status, _ := c.send(0, http.MethodPost, "/services/orders/rolls", "late", front.HeaderDeadline, "1s")
		late <- status
	}()
	for range 20 {
		assert.Assert(t, c.servesRequests(1), "the other host must not be delayed")
	}
	time.Sleep(3 * time.Second)
	assert.NilError(t, c.hosts[0].Process.Signal(syscall.SIGCONT))
	assert.Assert(t, <-late != 0, "the request to the paused host got no response")
	c.eventually("the resumed host serves requests", func() bool { return c.servesRequests(0) })

	// Host 1, which manages the plain service's target, is killed.
	assert.NilError(t, c.hosts[1].Process.Kill())
	_ = c.hosts[1].Wait()
	status, p = c.send(0, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, status, http.StatusOK, "%v", p)
	c.hosts[1] = c.startHost(1, "b")
	c.eventually("the restarted host serves requests", func() bool { return c.ready(1) && c.servesRequests(1) })
	c.eventually("the other host serves requests", func() bool { return c.servesRequests(0) })

	// A graceful stop completes running requests and exits with status 0.
	result := make(chan int, 1)
	go func() {
		status, _ := c.send(0, http.MethodGet, "/services/orders/stock", "")
		result <- status
	}()
	c.eventually("the request is running", func() bool { return c.status(0).Running == 1 || len(result) == 1 })
	assert.NilError(t, c.hosts[0].Process.Signal(syscall.SIGTERM))
	assert.Equal(t, <-result, http.StatusOK)
	assert.NilError(t, c.hosts[0].Wait())
}

// hostStatus holds the field of a host's status that the tests use.
type hostStatus struct{ Running int }

// status returns the status of host i, or its zero value without a response.
func (c *cluster) status(i int) hostStatus {
	var s hostStatus
	response, err := http.Get(fmt.Sprintf("http://%s/status", c.admins[i]))
	if err != nil {
		return s
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

func TestAllFindingsOfSettingsAndConfigurationAreReported(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "yuccadoor")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	bad := filepath.Join(dir, "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("Tiers: [{Nam: x}]\nZone: 1\n"), 0o600))
	cases := []struct {
		name      string
		arguments []string
		findings  []string
	}{
		{"settings", []string{"serve", "--front", "localhost:80", "--policy", "best", "--max-waiting", "0"}, []string{"Front:", "Policy:", "MaxWaiting:"}},
		{"configuration", []string{"check", bad}, []string{"1:10: unknown field Nam", "2:1: unknown field Zone"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(binary, c.arguments...).CombinedOutput()
			assert.Assert(t, err != nil, "exit status 0")
			for _, s := range c.findings {
				assert.Assert(t, bytes.Contains(out, []byte(s)), "%q is not in:\n%s", s, out)
			}
		})
	}
}
