// Package rwfleet starts routers and stand-ins as separate processes on
// loopback addresses, for tests and experiments. Stand-ins are simple
// implementations of the platform, the engines and the plain services.
package rwfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/internal/rwrecord"
)

const (
	pollInterval = 20 * time.Millisecond
	firstPort    = 10000
	portCount    = 22000
	portAttempts = 100
	// reservingHost is another loopback address. A listener there reserves its port
	// for the process that has it.
	reservingHost = "127.0.0.2"
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// Key is the shared key of the routers of a test fleet.
	Key = "loopback-fleet-key"
)

// Fleet is a set of running processes, which Close kills.
type Fleet struct {
	// BinDir is the folder of the programs.
	BinDir string
	// LogDir is the folder for the output of the processes.
	LogDir string

	mu    sync.Mutex
	procs map[string]*Proc
}

// Proc is a process.
type Proc struct {
	Name string
	// Addr is the address for callers, Peer the one for routers, Ops the one
	// for operators. Stand-ins only have Addr.
	Addr, Peer, Ops string
	// PublishedPeer is the peer address in the router's record if it differs
	// from Peer, because a proxy is in between.
	PublishedPeer string
	Zone          string

	cmd  *exec.Cmd
	done chan struct{}
}

// New returns an empty fleet. The folder bin must contain the built programs.
func New(bin, logs string) *Fleet {
	return &Fleet{BinDir: bin, LogDir: logs, procs: map[string]*Proc{}}
}

// FreeAddr returns an unused loopback address that no other call returns, also in
// another process, until this process ends: processes listen long after their
// addresses were chosen. The port is below the range for outgoing connections, one
// of which could otherwise take it.
func FreeAddr() (string, error) {
	for range portAttempts {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		reservation, err := net.Listen("tcp", net.JoinHostPort(reservingHost, port))
		if err != nil {
			continue
		}
		addr := net.JoinHostPort("127.0.0.1", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		reservations.Store(port, reservation)
		return addr, l.Close()
	}
	return "", rwfault.New(rwcode.Internal, "no free port")
}

// reservations holds the listeners on reservingHost by port, which would otherwise
// be closed as garbage.
var reservations sync.Map

// Start starts a program. The name must be unique among the running processes.
func (f *Fleet) Start(p *Proc, program string, args ...string) error {
	out, err := os.OpenFile(f.logPath(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	p.cmd = exec.Command(filepath.Join(f.BinDir, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	f.mu.Lock()
	f.procs[p.Name] = p
	f.mu.Unlock()
	return nil
}

// Output returns what the process has written.
func (f *Fleet) Output(p *Proc) string {
	data, err := os.ReadFile(f.logPath(p))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (f *Fleet) logPath(p *Proc) string { return filepath.Join(f.LogDir, p.Name+".log") }

// PID returns the id of the process. It must be called after Start.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process, such as SIGSTOP to pause it.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait reports whether the process exited by itself within the time limit.
func (p *Proc) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ExitState returns how the process ended. It must be called after Wait or Kill.
func (p *Proc) ExitState() *os.ProcessState { return p.cmd.ProcessState }

// CPU returns the CPU time that the process has used.
func (p *Proc) CPU() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, rwfault.Wrap(rwcode.Internal, err)
	}
	// The second field, the name in parentheses, may contain spaces. User and
	// system time are fields 14 and 15.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, rwfault.New(rwcode.Internal, "/proc/PID/stat has too few fields")
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, nil
}

// PeakMemory returns the peak resident set size of the process in bytes.
func (p *Proc) PeakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, rwfault.Wrap(rwcode.Internal, err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, rwfault.New(rwcode.Internal, "no VmHWM in /proc/PID/status")
}

// Close kills all processes.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		p.Kill()
	}
}

// StartPlatform starts a platform stand-in.
func (f *Fleet) StartPlatform(args ...string) (*Proc, error) {
	return f.startStandIn("platform", "rwplatform", args...)
}

// StartEngine starts an engine stand-in.
func (f *Fleet) StartEngine(name string, slots int, step time.Duration, args ...string) (*Proc, error) {
	args = append([]string{"--name", name, "--slots", strconv.Itoa(slots), "--step", step.String()}, args...)
	return f.startStandIn(name, "rwengine", args...)
}

// StartService starts a plain service stand-in.
func (f *Fleet) StartService(name string, args ...string) (*Proc, error) {
	return f.startStandIn(name, "rwservice", args...)
}

func (f *Fleet) startStandIn(name, program string, args ...string) (*Proc, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	p := &Proc{Name: name, Addr: addr}
	return p, f.Start(p, program, append([]string{"--listen", addr}, args...)...)
}

// NewRouter chooses the addresses of a router without starting it, so that its
// record can be published first.
func NewRouter(name, zone string) (*Proc, error) {
	p := &Proc{Name: name, Zone: zone}
	for _, a := range []*string{&p.Addr, &p.Peer, &p.Ops} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	return p, nil
}

// StartRouter starts a router. The platform is the address of a platform
// stand-in.
func (f *Fleet) StartRouter(p *Proc, platform string, args ...string) error {
	all := []string{
		"--name", p.Name, "--zone", p.Zone, "--listen", p.Addr, "--peer", p.Peer,
		"--ops", p.Ops, "--platform", "http://" + platform + "/", "--key", Key,
	}
	if p.PublishedPeer != "" {
		all = append(all, "--advertise", p.PublishedPeer)
	}
	return f.Start(p, "rwrouter", append(all, args...)...)
}

// VMRecord returns the VM record of a router.
func VMRecord(p *Proc, state string) rwrecord.Record {
	addr := p.PublishedPeer
	if addr == "" {
		addr = p.Peer
	}
	return Record("vm", p.Name, 1, map[string]any{
		"addr": addr, "http": p.Addr, "zone": p.Zone, "region": "main", "state": state,
	})
}

// Record returns a record with the value encoded as JSON. The platform sets its
// revision.
func Record(kind, name string, schema int, value any) rwrecord.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(rwfault.Wrap(rwcode.Internal, err))
	}
	return rwrecord.Record{Kind: kind, Name: name, Schema: schema, Value: data}
}

// Publish publishes records through a platform stand-in.
func Publish(ctx context.Context, platform string, items ...rwrecord.Record) error {
	return PostAdmin(ctx, platform, "records", items)
}

// PostAdmin posts a value to an /admin path of a stand-in, such as "faults",
// "state", "outage", "stale" or "lag".
func PostAdmin(ctx context.Context, addr, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/admin/"+path, bytes.NewReader(data))
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rwfault.Wrap(rwcode.UpstreamUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(resp.Body)
		return rwfault.New(rwcode.BadRequest, strings.TrimSpace(string(text)))
	}
	return nil
}

// Get decodes the JSON that a process serves at a URL path.
func Get(ctx context.Context, addr, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return rwfault.Wrap(rwcode.Internal, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rwfault.Wrap(rwcode.UpstreamUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rwfault.New(rwcode.UpstreamRefused, addr+path+": "+resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return rwfault.Wrap(rwcode.UpstreamMalformed, err)
	}
	return nil
}

// WaitReady waits until the process responds with status 200 at the URL path.
func WaitReady(ctx context.Context, addr, path string) error {
	last := "no response"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return rwfault.Wrap(rwcode.Internal, err)
		}
		resp, err := http.DefaultClient.Do(req)
		switch {
		case err != nil && ctx.Err() == nil:
			last = err.Error()
		case err == nil:
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = resp.Status
		}
		select {
		case <-ctx.Done():
			return rwfault.New(rwcode.NotReady, fmt.Sprintf("%s%s: %s", addr, path, last))
		case <-time.After(pollInterval):
		}
	}
}
