//go:build crowd && linux

package crowdtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// buildDir returns the directory of the programs, which are built once.
var buildDir = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := buildDir(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// process is a running program. It is killed when the test ends.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex // Guards log.
	log bytes.Buffer
}

// Write implements io.Writer for the program's log.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// maxPrintedLog bounds the log that a failed test prints.
const maxPrintedLog = 4 << 10

// start starts a program. With maxDescriptors above 0 that is its hard limit of descriptors.
func start(t *testing.T, maxDescriptors int, program string, args ...string) *process {
	t.Helper()
	dir, err := buildDir()
	assert.NilError(t, err)
	command := append([]string{filepath.Join(dir, program)}, args...)
	if maxDescriptors > 0 {
		command = append([]string{"sh", "-c", `ulimit -n "$0"; exec "$@"`, strconv.Itoa(maxDescriptors)}, command...)
	}
	p := &process{cmd: exec.Command(command[0], command[1:]...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			log := p.log.String()
			t.Logf("end of the log of %s:\n%s", program, log[max(len(log)-maxPrintedLog, 0):])
		}
	})
	return p
}

// lives reports whether the process runs.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// procPath returns the path of a file about the process.
func (p *process) procPath(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// peakBytes returns the peak of the resident size, which the kernel records without gaps.
func (p *process) peakBytes(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(p.procPath("status"))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no peak of the resident size")
	return 0
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(p.procPath("fd"))
	return len(entries)
}
