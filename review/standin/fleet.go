package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the sheet of pero-sayuz.
const (
	memoryMb        = 284
	graceTime       = 8 * time.Second
	stabilityWindow = 3 * time.Second
	configTime      = 2 * time.Second
	drainTime       = 2 * time.Second
	lossSlack       = 200 * time.Millisecond
	// leadTime is how long after the machines the traffic starts.
	leadTime = 10 * time.Second
	// restartDelay is the short delay after which the platform starts a process
	// again that has ended.
	restartDelay = 500 * time.Millisecond
)

// The ports of a machine, the same on all machines of a run.
type ports struct{ front, ready, control, inner int }

// machine is a front machine with the process that it runs.
type machine struct {
	name, zone, ip string
	ports          ports
	settings, log  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// startedAt is the last start of the process, and ends the number of times that
	// it ended by itself or at its memory limit.
	startedAt time.Time
	ends      int
	peakKB    int
	stopping  bool
	exited    chan struct{}
	// storeAddr is the machine's address of the store; refused is whether the store
	// turns this machine away.
	storeAddr string
	refused   atomic.Bool
	// inRotation is whether the last question at the ready address got a 200.
	inRotation bool
	misses     int
}

// platform starts the machines, watches their memory, and asks whether they are ready.
type platform struct {
	dir, root string
	store     *store
	machines  []*machine
	env       []string
	done      chan struct{}
	wg        sync.WaitGroup
	started   time.Time
}

// newPlatform prepares machines in zones, on loopback addresses of their own.
func newPlatform(zones []string) *platform {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	p := &platform{dir: dir, root: root, store: newStore("127.0.0.1"), done: make(chan struct{})}
	onExit(func() { p.close() })
	var ips []string
	net3 := 1 + rand.IntN(250)
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, net3, i+1))
	}
	n := ports{freePort(ips), freePort(ips), freePort(ips), freePort(ips)}
	for i, zone := range zones {
		p.machines = append(p.machines, &machine{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ips[i], ports: n,
			settings: filepath.Join(dir, fmt.Sprintf("local-%d.yaml", i+1)), log: filepath.Join(dir, fmt.Sprintf("log-%d.txt", i+1)),
		})
	}
	for _, m := range p.machines {
		m.storeAddr = p.store.door("127.0.0.1", m.refused.Load)
	}
	p.writeSettings(zones, true)
	return p
}

// freePort returns a port that is free on all addresses, with its two successors.
func freePort(ips []string) int {
	for range 1000 {
		port := 11000 + rand.IntN(20000)
		free := true
		for _, ip := range ips {
			for d := range 3 {
				l, err := net.Listen("tcp", ip+":"+strconv.Itoa(port+d))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

func (p *platform) writeSettings(zones []string, first bool) {
	known := map[string]bool{}
	text := ""
	for _, z := range zones {
		if !known[z] {
			known[z] = true
			text += fmt.Sprintf("  %s: \"bg-central\"\n", z)
		}
	}
	seeds := ""
	for i, m := range p.machines {
		if i < 3 {
			seeds += fmt.Sprintf("  - \"%s:%d\"\n", m.ip, m.ports.control)
		}
	}
	for _, m := range p.machines {
		s := fmt.Sprintf(`nodeName: %q
role: "router"
machineClass: "front"
serves:
  - "front"
  - "control"
ip: %q
zone: %q
region: "bg-central"
zones:
%slisten:
  front: "%s:%d"
  ready: "%s:%d"
  control: "%s:%d"
internalPortRange:
  - %d
  - %d
seeds:
%sfirstStart: %v
toleranceMember: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: %d
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, stabilityWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetExtraRetries: 56, recoverS: 12, passMs: 120, reuseWindowS: 10, quotaWindowS: 4}
platform: {address: %q, form: "read", writesPerS: 400.0, readsPerS: 2000.0, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, m.name, m.ip, m.zone, text, m.ip, m.ports.front, m.ip, m.ports.ready, m.ip, m.ports.control, m.ports.inner, m.ports.inner+1, seeds, first, memoryMb, m.storeAddr)
		if err := os.WriteFile(m.settings, []byte(s), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
}

// start starts all machines and waits until they are ready.
func (p *platform) start() {
	p.started = time.Now()
	for _, m := range p.machines {
		p.startOne(m)
	}
	p.wg.Go(p.watchMemory)
	for _, m := range p.machines {
		p.wg.Go(func() { p.askReady(m) })
	}
	end := time.Now().Add(8 * time.Second)
	for !p.allReady() {
		if time.Now().After(end) {
			cannotRun("the machines don't get ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *platform) allReady() bool {
	for _, m := range p.machines {
		m.mu.Lock()
		ok := m.inRotation
		m.mu.Unlock()
		if !ok {
			return false
		}
	}
	return true
}

// startOne starts the process of a machine with the command of the deploy file.
func (p *platform) startOne(m *machine) {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	cmd := exec.Command(filepath.Join(p.root, "target/rwfront"))
	cmd.Dir = p.root
	cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "REDWING_KEY=redwing-front-fleet-1", "REDWINGWORKS_CONFIG=" + m.settings,
	}, p.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("start rwfront: %v (run the build of the deploy file first)", err)
	}
	_ = out.Close()
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.startedAt, m.exited, m.stopping = cmd, time.Now(), exited, false
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		close(exited)
		m.mu.Lock()
		own := !m.stopping
		if own {
			m.ends++
		}
		m.mu.Unlock()
		if own {
			select {
			case <-p.done:
				return
			default:
			}
			record("%s: the process ended (%v)", m.name, err)
			time.Sleep(restartDelay)
			p.startOne(m)
			record("%s: the platform started the process again", m.name)
		}
	}()
}

// signal sends a signal that is not an end by itself, and waits for the end if the
// signal is SIGKILL.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.stopping = true
	}
	m.mu.Unlock()
	_ = cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-exited
	}
}

// inTouch reports whether the process ran for the whole stability window.
func (m *machine) inTouch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.startedAt) >= stabilityWindow
}

func (m *machine) addr() string { return m.ip + ":" + strconv.Itoa(m.ports.front) }

// watchMemory kills a process that exceeds the memory of its machine, as DEPLOY.md
// says. Unread bytes in sockets are left out.
func (p *platform) watchMemory() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range p.machines {
			m.mu.Lock()
			cmd := m.cmd
			m.mu.Unlock()
			kb := residentKB(cmd.Process.Pid)
			m.mu.Lock()
			m.peakKB = max(m.peakKB, kb)
			m.mu.Unlock()
			if kb > memoryMb<<10 {
				record("%s: %d MB resident, over memoryMb %d: killed", m.name, kb>>10, memoryMb)
				_ = cmd.Process.Kill()
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// askReady asks a machine once a second whether it is ready. After two misses it gets
// no new connections until it answers 200 again.
func (p *platform) askReady(m *machine) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for {
		resp, err := client.Get("http://" + m.ip + ":" + strconv.Itoa(m.ports.ready) + "/api/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		m.mu.Lock()
		if ok {
			m.inRotation, m.misses = true, 0
		} else if m.misses++; m.misses >= 2 {
			m.inRotation = false
		}
		m.mu.Unlock()
		pause := time.Second
		if !p.settled() {
			pause = 100 * time.Millisecond
		}
		select {
		case <-p.done:
			return
		case <-time.After(pause):
		}
	}
}

func (p *platform) settled() bool { return time.Since(p.started) > 8*time.Second }

// pick returns the machine for a new connection of a client.
func (p *platform) pick(client int) *machine {
	var ready []*machine
	for _, m := range p.machines {
		m.mu.Lock()
		if m.inRotation {
			ready = append(ready, m)
		}
		m.mu.Unlock()
	}
	if 2*len(ready) < len(p.machines) {
		ready = p.machines
	}
	return ready[client%len(ready)]
}

func (p *platform) close() {
	select {
	case <-p.done:
		return
	default:
	}
	close(p.done)
	for _, m := range p.machines {
		m.mu.Lock()
		m.stopping = true
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("logs:", p.dir)
	}
}

// grep returns the number of log lines of a machine that hold a text.
func (m *machine) grep(text string) int {
	data, _ := os.ReadFile(m.log)
	return bytes.Count(data, []byte(text))
}
