package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/loopback"
	"github.com/snipestep/snipestep/local/fakeservices"
	"github.com/snipestep/snipestep/local/load"
)

const (
	testTimeout      = 60 * time.Second
	stopTimeout      = 10 * time.Second
	pollInterval     = 50 * time.Millisecond
	firstNetwork     = 100
	lastNetwork      = 200
	firstProgramHost = 2 // Host 1 serves the fakes.
)

// buildPrograms builds all programs and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir, "../...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return dir
}

// process is a running program. It is killed when the test ends.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // Set before exited is closed.

	mu  sync.Mutex // Guards log.
	log bytes.Buffer
}

// Write implements io.Writer for the program's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%s %v:\n%s", filepath.Base(program), args, p.logText())
		}
	})
	return p
}

// stop sends SIGTERM.
func (p *process) stop(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
}

// assertExited checks that the program exits with status 0.
func (p *process) assertExited(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		assert.NilError(t, p.err, p.logText())
	case <-time.After(stopTimeout):
		t.Fatalf("%v still runs", p.cmd.Args)
	}
}

// testFleet is a fleet of separate processes on loopback addresses.
type testFleet struct {
	t                   *testing.T
	ctx                 context.Context
	binDir, settingsDir string
	processes           map[string]*process // By the name of the settings file; that of the fakes is "fakes".
	network             int
	entryURLs           []string
	metricsURLs         []string // Base URLs of /metrics and /readyz.
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	f := &testFleet{t: t, ctx: ctx, binDir: buildPrograms(t), settingsDir: t.TempDir(), processes: map[string]*process{}}
	f.network = reserveNetwork(t)
	f.startFakes()
	for host, name := range []string{"entry-1", "entry-2", "model-1", "plain-1"} {
		program := "snipestep-agent"
		if strings.HasPrefix(name, "entry") {
			program = "snipestep-entry"
			f.entryURLs = append(f.entryURLs, f.url(firstProgramHost+host, 8080))
		}
		f.metricsURLs = append(f.metricsURLs, f.url(firstProgramHost+host, 9400))
		f.processes[name] = startProcess(t, filepath.Join(f.binDir, program), filepath.Join(f.settingsDir, name+".ini"))
	}
	for _, url := range f.metricsURLs {
		f.waitUntil(url+" is ready", func() bool { return strings.HasPrefix(f.get(url+"/readyz"), "ok") })
	}
	f.waitUntil("agents are known", func() bool { return strings.Count(f.runCtl("status"), "in service") >= 1 })
	return f
}

// reserveNetwork returns a number N whose addresses 127.N.0.x are free, and
// reserves it so that concurrent test runs do not use it.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	network, err := loopback.Reserve(t.Context(), firstNetwork, lastNetwork)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = network.Close() })
	return network.Number
}

func (f *testFleet) url(host, port int) string {
	return fmt.Sprintf("http://127.%d.0.%d:%d", f.network, host, port)
}

// startFakes starts the fakes and waits until they respond.
func (f *testFleet) startFakes() {
	f.t.Helper()
	f.processes["fakes"] = startProcess(f.t, filepath.Join(f.binDir, "snipestep-local"), "fakes", f.settingsDir,
		"--entries", "2", "--models", "1", "--plains", "1", "--network", strconv.Itoa(f.network))
	for _, port := range []int{9000, 9001, 9002, 9003} {
		f.waitUntil("the platform responds", func() bool { return f.get(f.url(1, port)+"/v1/instances") != "" })
	}
}

// get returns the body of the response, or "" if there is none.
func (f *testFleet) get(url string) string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	assert.NilError(f.t, err)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	return readBody(f.t, response)
}

// runCtl runs snipestepctl and returns what it prints.
func (f *testFleet) runCtl(args ...string) string {
	f.t.Helper()
	args = slices.Concat([]string{"--server", strings.Join(f.entryURLs, ","), "--token", fakeservices.OperatorToken}, args)
	out, _ := exec.CommandContext(f.ctx, filepath.Join(f.binDir, "snipestepctl"), args...).CombinedOutput()
	return string(out)
}

// waitUntil polls condition until it holds; the test fails when its timeout passes.
func (f *testFleet) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("never reached: %s\n%s", description, f.runCtl("status"))
		case <-time.After(pollInterval):
		}
	}
}

// placeVersion places a model version and waits until it is served.
func (f *testFleet) placeVersion(version string) {
	f.t.Helper()
	plan := f.runCtl("intent", "place", load.ModelName, version)
	fields := strings.Fields(plan)
	assert.Assert(f.t, len(fields) > 1 && fields[0] == "plan", plan)
	assert.Assert(f.t, strings.Contains(f.runCtl("confirm", fields[1]), "made generation"))
	f.waitUntil(version+" is served", func() bool {
		for line := range strings.Lines(f.runCtl("status")) {
			row := strings.Fields(line)
			if len(row) > 4 && row[0] == "model-1" && slices.Contains(row[3:5], load.ModelName+":"+version) {
				return true
			}
		}
		return false
	})
}

// post sends a caller's request and returns the status and body of the response.
func (f *testFleet) post(entryIndex int, path, body string) (int, string) {
	f.t.Helper()
	response := f.startRequest(entryIndex, path, body)
	defer response.Body.Close()
	return response.StatusCode, readBody(f.t, response)
}

// startRequest sends a caller's request; the test closes the response's body.
func (f *testFleet) startRequest(entryIndex int, path, body string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.entryURLs[entryIndex]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+fakeservices.CallerToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", "key")
	response, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	return response
}

func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(text)
}

// runToExit runs a program until it exits and returns its status and output.
func runToExit(t *testing.T, program string, args ...string) (int, string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	assert.NilError(t, err)
	return 0, string(out)
}
