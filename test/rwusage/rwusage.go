// Package rwusage samples the memory and the file descriptors that a process uses.
package rwusage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is the most that a process used.
type Usage struct {
	// Memory is the resident memory together with Unread, the bytes that its sockets
	// had received and it had not read, at one moment. Resident is the peak of resident
	// memory as the kernel counts it. All are in bytes.
	Memory, Unread, Resident int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Watch samples the usage of a process until it is stopped.
type Watch struct {
	done    chan struct{}
	samples sync.WaitGroup
	peak    Usage
}

// Start begins to sample the process with an id at an interval. Sampling ends with the
// process.
func Start(pid int, interval time.Duration) *Watch {
	w := &Watch{done: make(chan struct{})}
	w.samples.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			if !w.sample(pid) {
				return
			}
			select {
			case <-w.done:
				return
			case <-ticker.C:
			}
		}
	})
	return w
}

// Stop ends the sampling and returns the most of all samples.
func (w *Watch) Stop() Usage {
	close(w.done)
	w.samples.Wait()
	return w.peak
}

// sample takes a sample and reports whether the process was still there.
func (w *Watch) sample(pid int) bool {
	resident := statusBytes(pid, "VmRSS:")
	if resident == 0 {
		return false
	}
	sockets, descriptors := descriptorsOf(pid)
	unread := unreadBytes(sockets)
	w.peak.Memory = max(w.peak.Memory, resident+unread)
	w.peak.Unread = max(w.peak.Unread, unread)
	w.peak.Resident = max(w.peak.Resident, statusBytes(pid, "VmHWM:"))
	w.peak.Descriptors = max(w.peak.Descriptors, descriptors)
	return true
}

// statusBytes returns a size of /proc/PID/status in bytes, or 0.
func statusBytes(pid int, field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// descriptorsOf returns the inodes of the process's sockets and the number of its file
// descriptors.
func descriptorsOf(pid int) (sockets map[string]bool, n int) {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(dir)
	sockets = map[string]bool{}
	for _, e := range entries {
		target, _ := os.Readlink(dir + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, len(entries)
}

// unreadBytes returns the sum of the receive queues of TCP sockets with these inodes.
// A listener's queue counts connections, not bytes, and is left out.
func unreadBytes(sockets map[string]bool) int64 {
	const state, queues, inode, listening = 3, 4, 9, "0A"
	total := int64(0)
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		data, _ := os.ReadFile(file)
		for line := range strings.Lines(string(data)) {
			f := strings.Fields(line)
			if len(f) <= inode || f[state] == listening || !sockets[f[inode]] {
				continue
			}
			if _, received, ok := strings.Cut(f[queues], ":"); ok {
				n, _ := strconv.ParseInt(received, 16, 64)
				total += n
			}
		}
	}
	return total
}
