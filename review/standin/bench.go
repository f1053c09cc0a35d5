//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of all machines, as in the users' example of settings.
const (
	callerPort    = 8005
	readyPort     = 8002
	enginePort    = 8001
	plainPort     = 8080
	storePort     = 8007
	originPort    = 8006
	firstPort     = 7700
	lockPort      = 7399
	deployBuilt   = "target/snipestep-direct"
	nodeTemplate  = "deploy/node.ini"
	versionBound  = 8 * time.Second
	stable        = 3 * time.Second
	configBound   = 2 * time.Second
	partition     = 5 * time.Second
	drainBound    = 2 * time.Second
	checkInterval = 1200 * time.Millisecond
)

// bench is one play of a case: a loopback network, a temporary folder, the record, and the
// processes and listeners to end.
type bench struct {
	trouble bool
	record  *record
	folder  string
	network int
	lock    net.Listener

	mu        sync.Mutex
	processes []*process
	closers   []func()
	closed    bool
}

func newBench(folder string, trouble bool) (*bench, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(deployBuilt); err != nil {
		r.say("result", "could not run: %s isn't built", deployBuilt)
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bench{trouble: trouble, record: r, folder: temporary}
	for range 100 {
		b.network = 100 + rand.IntN(100)
		var config net.ListenConfig
		b.lock, err = config.Listen(context.Background(), "tcp", b.address(0, 1, lockPort))
		if err == nil {
			r.say("bench", "trouble: %v; network 127.%d.0.0/16", trouble, b.network)
			return b, nil
		}
	}
	return nil, err
}

// ip returns the address of a machine: its kind is the third number.
func (b *bench) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.network, kind, number)
}

func (b *bench) address(kind, number, port int) string {
	return net.JoinHostPort(b.ip(kind, number), fmt.Sprint(port))
}

// close ends the processes and listeners, and removes the temporary folder.
func (b *bench) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	for _, p := range b.processes {
		p.kill()
	}
	for _, c := range b.closers {
		c()
	}
	_ = b.lock.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// onClose registers what close calls.
func (b *bench) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

// machine describes a machine of the project's programs.
type machine struct {
	name, role, ip, zone string
	linkMbps             float64
	service, engine      string
}

// render fills the project's template of settings as the platform does, with the bounds of
// the Kalamu site.
func (b *bench) render(m machine) (string, error) {
	template, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return "", err
	}
	caller, ready := "", ""
	if m.role == "entry" {
		caller, ready = net.JoinHostPort(m.ip, fmt.Sprint(callerPort)), net.JoinHostPort(m.ip, fmt.Sprint(readyPort))
	}
	text := strings.NewReplacer(
		"{{node_name}}", m.name, "{{ip}}", m.ip, "{{port_range.0}}", fmt.Sprint(firstPort),
		"{{limits.bandwidth_mbps}}", fmt.Sprint(m.linkMbps), "{{region}}", strings.TrimSuffix(m.zone, "-a"), "{{zone}}", m.zone,
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "dar-a:dar,arusha-a:arusha,mwanza-a:mwanza",
		"{{listen.http}}", caller, "{{listen.readiness}}", ready,
		"{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_burst}}", "104", "{{bounds.grace_s}}", "8",
		"{{platform.address}}", b.address(9, 1, storePort), "{{service}}", m.service, "{{app}}", m.engine,
		"{{bounds.version_ms}}", fmt.Sprint(versionBound.Milliseconds()),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has a placeholder that the stand-in doesn't know")
	}
	return text, nil
}

// process is one of the project's programs.
type process struct {
	machine machine
	command *exec.Cmd
	ended   chan struct{} // Closed once it has ended.
	stopped atomic.Bool   // The case has stopped it.
}

// start starts a program with the command of the deploy file.
func (b *bench) start(m machine) (*process, error) {
	text, err := b.render(m)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.folder, m.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(b.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(deployBuilt, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPESTEP_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	// The program ends with this one. Go's main thread, which starts it, lasts as long.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	b.record.say(m.name, "started: %s %s, process %d", deployBuilt, m.role, command.Process.Pid)
	p := &process{machine: m, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, p)
	return p, nil
}

// log returns what the program of a machine has written.
func (b *bench) log(name string) string {
	text, _ := os.ReadFile(filepath.Join(b.folder, name+".log"))
	return string(text)
}

func (p *process) signal(s syscall.Signal) error {
	if s == syscall.SIGTERM {
		p.stopped.Store(true)
	}
	return p.command.Process.Signal(s)
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// checkRunning returns an error if a program has ended by itself.
func (b *bench) checkRunning() error {
	for _, p := range b.processes {
		select {
		case <-p.ended:
			if !p.stopped.Load() {
				return fmt.Errorf("%s has ended by itself: %s", p.machine.name, b.log(p.machine.name))
			}
		default:
		}
	}
	return nil
}
