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

const scenarioTimeout = 90 * time.Second

// fleet is the system as separate processes.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	binary   string
	platform netip.AddrPort
	fronts   []netip.AddrPort
	admins   []netip.AddrPort
	peers    []netip.AddrPort
	hosts    []*exec.Cmd
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	t.Cleanup(cancel)
	dir := t.TempDir()
	f := &fleet{t: t, ctx: ctx, binary: filepath.Join(dir, "yuccadoor")}
	out, err := exec.CommandContext(ctx, "go", "build", "-o", f.binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	addresses, err := local.FreeAddresses(9)
	assert.NilError(t, err)
	f.platform, f.fronts, f.peers, f.admins = addresses[0], addresses[1:3], addresses[3:5], addresses[5:7]
	engine, plain := addresses[7], addresses[8]

	list := model.HostList{Targets: []model.Target{
		{Address: engine, Service: "tape-lm", Zone: "a", State: model.Live},
		{Address: plain, Service: "orders", Zone: "b", State: model.Live},
	}}
	for i, zone := range []string{"a", "b"} {
		list.Hosts = append(list.Hosts, model.Host{Front: f.fronts[i], Peer: f.peers[i], Zone: zone, State: model.Live})
	}
	raw, err := json.Marshal(list)
	assert.NilError(t, err)
	listFile := filepath.Join(dir, "hosts.json")
	assert.NilError(t, os.WriteFile(listFile, raw, 0o600))
	text := filepath.Join("..", "..", "examples", "local.yaml")

	f.run("fake", "platform", "--listen", f.platform.String(), "--text", text, "--list", listFile)
	f.run("fake", "engine", "--listen", engine.String())
	f.run("fake", "plain", "--listen", plain.String(), "--work", "50ms")
	f.hosts = []*exec.Cmd{f.serve(0, "a"), f.serve(1, "b")}
	f.eventually("both hosts are ready", func() bool { return f.ready(0) && f.ready(1) })
	return f
}

// run starts a process that is killed when the test ends.
func (f *fleet) run(arguments ...string) *exec.Cmd {
	c := exec.Command(f.binary, arguments...)
	assert.NilError(f.t, c.Start())
	f.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

func (f *fleet) serve(i int, zone string) *exec.Cmd {
	return f.run("serve", "--zone", zone, "--front", f.fronts[i].String(), "--peer", f.peers[i].String(),
		"--admin", f.admins[i].String(), "--config", f.platform.String(), "--hosts", f.platform.String(), "--log-level", "error")
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for !ok() {
		if f.ctx.Err() != nil {
			f.t.Fatalf("never: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) ready(i int) bool {
	reply, err := http.Get("http://" + f.admins[i].String() + "/readyz")
	if err != nil {
		return false
	}
	reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// send makes a call and returns its status and the refusal, if any.
func (f *fleet) send(host int, method, path, body string, header ...string) (int, front.Problem) {
	request, err := http.NewRequestWithContext(f.ctx, method, "http://"+f.fronts[host].String()+path, bytes.NewBufferString(body))
	assert.NilError(f.t, err)
	request.Header.Set("Authorization", "Bearer desk-key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	var p front.Problem
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, p
	}
	defer reply.Body.Close()
	text, _ := io.ReadAll(reply.Body)
	_ = json.Unmarshal(text, &p)
	return reply.StatusCode, p
}

func (f *fleet) works(host int) bool {
	status, _ := f.send(host, http.MethodGet, "/services/orders/stock", "")
	return status == http.StatusOK
}

func TestSystemOfProcessesSurvivesFreezeKillAndStop(t *testing.T) {
	f := startFleet(t)
	for i := range 6 {
		assert.Assert(t, f.works(i%2))
	}
	body := `{"model":"tape-large","messages":[{"role":"user","content":"hem"}],"max_tokens":2}`
	status, p := f.send(1, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, status, http.StatusOK, "%v", p)

	// Host 0 is frozen for longer than it takes to count as dead, with a
	// request waiting to be read, and wakes with an old view.
	assert.NilError(t, f.hosts[0].Process.Signal(syscall.SIGSTOP))
	late := make(chan int, 1)
	go func() {
		status, _ := f.send(0, http.MethodPost, "/services/orders/rolls", "late", front.HeaderDeadline, "1s")
		late <- status
	}()
	for range 20 {
		assert.Assert(t, f.works(1), "the other host must not be held up")
	}
	time.Sleep(3 * time.Second)
	assert.NilError(t, f.hosts[0].Process.Signal(syscall.SIGCONT))
	assert.Assert(t, <-late != 0, "the request to the frozen host got no answer")
	f.eventually("the woken host serves", func() bool { return f.works(0) })

	// Host 1, which manages the plain service's target, is killed.
	assert.NilError(t, f.hosts[1].Process.Kill())
	_ = f.hosts[1].Wait()
	status, p = f.send(0, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, status, http.StatusOK, "%v", p)
	f.hosts[1] = f.serve(1, "b")
	f.eventually("the new process serves", func() bool { return f.ready(1) && f.works(1) })
	f.eventually("so does the other", func() bool { return f.works(0) })

	// A graceful stop ends what runs and exits with success.
	got := make(chan int, 1)
	go func() {
		status, _ := f.send(0, http.MethodGet, "/services/orders/stock", "")
		got <- status
	}()
	f.eventually("the request runs", func() bool { return f.status(0).Running == 1 || len(got) == 1 })
	assert.NilError(t, f.hosts[0].Process.Signal(syscall.SIGTERM))
	assert.Equal(t, <-got, http.StatusOK)
	assert.NilError(t, f.hosts[0].Wait())
}

// hostStatus is what the test reads of a host's status.
type hostStatus struct{ Running int }

func (f *fleet) status(i int) hostStatus {
	var s hostStatus
	reply, err := http.Get(fmt.Sprintf("http://%s/status", f.admins[i]))
	if err != nil {
		return s
	}
	defer reply.Body.Close()
	_ = json.NewDecoder(reply.Body).Decode(&s)
	return s
}

func TestBadSettingsAndTextsAreReportedTogether(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "yuccadoor")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	bad := filepath.Join(dir, "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("Tiers: [{Nam: x}]\nZone: 1\n"), 0o600))
	cases := []struct {
		name      string
		arguments []string
		says      []string
	}{
		{"settings", []string{"serve", "--front", "localhost:80", "--policy", "best", "--max-waiting", "0"}, []string{"Front:", "Policy:", "MaxWaiting:"}},
		{"text", []string{"check", bad}, []string{"1:10: unknown field Nam", "2:1: unknown field Zone"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := exec.Command(binary, c.arguments...).CombinedOutput()
			assert.Assert(t, err != nil, "exit status 0")
			for _, s := range c.says {
				assert.Assert(t, bytes.Contains(out, []byte(s)), "%q is not in:\n%s", s, out)
			}
		})
	}
}
