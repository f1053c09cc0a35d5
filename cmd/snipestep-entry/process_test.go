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
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/standins"
)

const (
	testDeadline = 60 * time.Second
	stopDeadline = 10 * time.Second
	awaitPause   = 50 * time.Millisecond
	firstNetwork = 100
	lastNetwork  = 200
	firstHost    = 2 // Of the programs; the stand-ins are at host 1.
)

// buildPrograms builds all programs once and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir, "../...").CombinedOutput()
	assert.NilError(t, err, string(out))
	return dir
}

// process is one running program. It is killed by its id at the test's end.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // Set before ended is closed.

	mu  sync.Mutex // Guards log.
	log bytes.Buffer
}

// Write implements io.Writer for the program's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("%s %v:\n%s", filepath.Base(program), args, p.text())
		}
	})
	return p
}

// stop asks the program to end.
func (p *process) stop(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
}

// assertEnded checks that the program ends with status 0.
func (p *process) assertEnded(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		assert.NilError(t, p.err, p.text())
	case <-time.After(stopDeadline):
		t.Fatalf("%v still runs", p.cmd.Args)
	}
}

// testFleet is a fleet of separate processes on loopback.
type testFleet struct {
	t        *testing.T
	ctx      context.Context
	bin, dir string
	programs map[string]*process // By the name of the settings file.
	network  int
	urls     []string // Of the entries.
	checks   []string // Of readiness and metrics.
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	t.Cleanup(cancel)
	f := &testFleet{t: t, ctx: ctx, bin: buildPrograms(t), dir: t.TempDir(), programs: map[string]*process{}}
	f.network = freeNetwork(t)
	f.startFakes()
	for host, name := range []string{"entry-1", "entry-2", "model-1", "plain-1"} {
		program := "snipestep-agent"
		if strings.HasPrefix(name, "entry") {
			program = "snipestep-entry"
			f.urls = append(f.urls, f.url(firstHost+host, 8080))
		}
		f.checks = append(f.checks, f.url(firstHost+host, 9400))
		f.programs[name] = start(t, filepath.Join(f.bin, program), filepath.Join(f.dir, name+".ini"))
	}
	for _, url := range f.checks {
		f.until(url+" is ready", func() bool { return strings.HasPrefix(f.get(url+"/readyz"), "ok") })
	}
	f.until("agents are known", func() bool { return strings.Count(f.ctl("status"), "in service") >= 1 })
	return f
}

// freeNetwork returns a number N whose addresses 127.N.0.x are free, and holds
// it against other runs of the test.
func freeNetwork(t *testing.T) int {
	t.Helper()
	network, err := loopback.Reserve(t.Context(), firstNetwork, lastNetwork)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = network.Close() })
	return network.Number
}

func (f *testFleet) url(host, port int) string {
	return fmt.Sprintf("http://127.%d.0.%d:%d", f.network, host, port)
}

// startFakes serves the stand-ins and waits until they answer.
func (f *testFleet) startFakes() {
	f.t.Helper()
	f.programs["fakes"] = start(f.t, filepath.Join(f.bin, "snipestep-local"), "fakes", f.dir,
		"--entries", "2", "--models", "1", "--plains", "1", "--network", strconv.Itoa(f.network))
	for _, port := range []int{9000, 9001, 9002, 9003} {
		f.until("the platform answers", func() bool { return f.get(f.url(1, port)+"/v1/instances") != "" })
	}
}

// get returns the body of an answer, empty if there is none.
func (f *testFleet) get(url string) string {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	assert.NilError(f.t, err)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer answer.Body.Close()
	return readAll(f.t, answer)
}

// ctl runs snipestepctl and returns what it prints.
func (f *testFleet) ctl(args ...string) string {
	f.t.Helper()
	args = slices.Concat([]string{"--server", strings.Join(f.urls, ","), "--token", standins.OperatorToken}, args)
	out, _ := exec.CommandContext(f.ctx, filepath.Join(f.bin, "snipestepctl"), args...).CombinedOutput()
	return string(out)
}

// until repeats a step until it holds; the test's deadline ends it.
func (f *testFleet) until(what string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("never reached: %s\n%s", what, f.ctl("status"))
		case <-time.After(awaitPause):
		}
	}
}

// place places a version and waits until it is served.
func (f *testFleet) place(version string) {
	f.t.Helper()
	plan := f.ctl("intent", "place", load.ModelName, version)
	fields := strings.Fields(plan)
	assert.Assert(f.t, len(fields) > 1 && fields[0] == "plan", plan)
	assert.Assert(f.t, strings.Contains(f.ctl("confirm", fields[1]), "made generation"))
	f.until(version+" is served", func() bool {
		for line := range strings.Lines(f.ctl("status")) {
			row := strings.Fields(line)
			if len(row) > 4 && row[0] == "model-1" && slices.Contains(row[3:5], load.ModelName+":"+version) {
				return true
			}
		}
		return false
	})
}

// post sends a caller's request and returns status and body.
func (f *testFleet) post(entry int, path, body string) (int, string) {
	f.t.Helper()
	answer := f.open(entry, path, body)
	defer answer.Body.Close()
	return answer.StatusCode, readAll(f.t, answer)
}

// open starts a caller's request; the caller closes the answer's body.
func (f *testFleet) open(entry int, path, body string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, f.urls[entry]+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+standins.CallerToken)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", "key")
	answer, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	return answer
}

func readAll(t *testing.T, answer *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return string(text)
}

// exitStatus runs a program to its end.
func exitStatus(t *testing.T, program string, args ...string) (int, string) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	assert.NilError(t, err)
	return 0, string(out)
}
