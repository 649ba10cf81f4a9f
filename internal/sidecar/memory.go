package sidecar

import (
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/allocator"
	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
)

const (
	// accountShare is the share of the memory limit that requests, responses and
	// connections may use together. The rest is for the daemon's own state, the bytes
	// that have arrived unread, and memory that was not collected yet.
	accountShare = 0.45
	// connectionShare is the share of the open files that clients' connections may use.
	connectionShare = 0.5
)

// newAccount returns the account of a process with a memory limit.
func newAccount(memoryMiB int, clock timekeeper.Clock) *allocator.Account {
	return &allocator.Account{
		Limit: int64(accountShare * float64(memoryMiB<<20)),
		Clock: clock,
	}
}

// newMemory returns the bound of responses' bodies, a share of the process's memory limit.
func (d *Daemon) newMemory(share float64) *carrier.Memory {
	return &carrier.Memory{
		Limit:   int64(share * float64(d.sidecar.MemoryMiB<<20)),
		Account: d.account,
	}
}

// maxConnections returns the bound of clients' connections, or 0 if there is none.
func (d *Daemon) maxConnections() int {
	files := d.sidecar.Files
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (files == 0 || limit.Cur < uint64(files)) {
		files = int(min(limit.Cur, maxFiles))
	}
	return int(connectionShare * float64(files))
}

// maxFiles bounds what an unlimited process counts as its limit of open files.
const maxFiles = 1 << 20

// observeMemory updates the gauges of what is held for others.
func (d *Daemon) observeMemory() {
	for _, c := range allocator.Causes() {
		metrics.GetOrRegisterGauge("held."+c.String(), d.metrics).Update(d.account.Used(c))
	}
	for name, count := range map[string]int64{
		"revoked.unfinished": d.account.RevokedCount(allocator.Unfinished),
		"revoked.idle":       d.account.RevokedCount(allocator.Idle),
		"revoked.unread":     d.account.RevokedCount(allocator.Unread),
		"connection.refused": d.receiver.Refused(),
	} {
		metrics.GetOrRegisterGauge(name, d.metrics).Update(count)
	}
	open, _ := d.receiver.Connections()
	metrics.GetOrRegisterGauge("connection.open", d.metrics).Update(int64(open))
}
