//go:build review2

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// block is the third byte of all addresses of this run, taken by takeBlock.
var block int

// lockPort is a port that only holds the block of a run.
const lockPort = 17999

// takeBlock takes loopback addresses that no other run uses.
func takeBlock() (net.Listener, error) {
	const blocks = 250
	for i := range blocks {
		block = (os.Getpid()+i)%blocks + 1
		if lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(254), lockPort)); err == nil {
			return lock, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// nodeIP returns the loopback address of a machine.
func nodeIP(n int) string {
	return fmt.Sprintf("127.54.%d.%d", block, n)
}

// program is one process of the system.
type program struct {
	role, ip    string
	http, ready string
	settings    string
	command     *exec.Cmd
	exited      chan struct{}
}

// settingsText is deploy/node.ini filled with the figures of a small deployment.
const settingsText = `[instance]
id = %[1]s
ip = %[2]s
first_port = %[3]d
link_mbps = %[9]s
region = %[10]s
failure_domain = %[10]s-a
regions = khomas-a:khomas,erongo-a:erongo,oshana-a:oshana

[fleet]
key = 736e69706573746570206f6e652064656c706f79

[callers]
address = %[4]s
ready_address = %[5]s
retry_ratio = 0.2
retry_burst = 104
stop_grace = 8s

[store]
address = %[6]s

[engine]
service = %[7]s
address = %[8]s

[weights]
version_bound = 8000ms

[telemetry]
log_level = info
metrics_address = %[2]s:9464
sample_ratio = 0
`

// regions are those of the deployment, each with one zone.
var regions = []string{"khomas", "erongo", "oshana"}

// portBase is the first of the ports between machines, the same on all of them.
const portBase = 17700

// newProgram writes the settings of a process. service and app are those of the replica beside an
// agent.
func newProgram(dir, role, name, ip, region, storeAddress, service, app string) (*program, error) {
	p := &program{role: role, ip: ip, http: ip + ":18005", ready: ip + ":18002"}
	linkMbps := "1000"
	if role == "agent" {
		linkMbps = "7.6"
	}
	p.settings = filepath.Join(dir, name+".ini")
	text := fmt.Sprintf(settingsText, name, ip, portBase, p.http, p.ready, storeAddress, service, app, linkMbps, region)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *program) start(log *os.File) error {
	// The limit of descriptors is that of the machine, max_fds.
	p.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/snipestep-direct %s", maxFiles[p.role], p.role))
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "SNIPESTEP_NODE_FILE=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runningMu.Lock()
	defer runningMu.Unlock()
	if err := p.command.Start(); err != nil {
		return err
	}
	running = append(running, p)
	p.exited = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	return nil
}

// maxFiles is max_fds of the machine that runs a role.
var maxFiles = map[string]int{"entry": heldFiles, "agent": 2048}

// running holds all processes that were started.
var (
	runningMu sync.Mutex
	running   []*program
)

// stopAll ends all processes that were started.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, p := range running {
		p.kill()
	}
}

// lives reports whether the process runs.
func (p *program) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (p *program) kill() {
	if p.command != nil && p.lives() {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// awaitReady waits until an entry answers its readiness check with 200.
func (p *program) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/readyz") //nolint:gosec,noctx // It is a loopback address.
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s at %s is not ready after %v", p.role, p.ready, limit)
}

// listen listens at a free port of an address.
func listen(ip string) (net.Listener, error) {
	return net.Listen("tcp", ip+":0")
}
