package sidecar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// leavingMembers holds the entries of members whose targets were leaving. A daemon that
// restarts does not know of the leave report that its target has sent to it, and would take
// a late announcement for that of a running target. The other daemons tell it.
type leavingMembers struct {
	mu      sync.Mutex
	entries map[string]prober.Member
}

// record adds the members whose targets are leaving, and removes those that are not in the
// membership any more. The members are sorted by ID.
func (l *leavingMembers) record(members []prober.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		if m.Target != nil && m.Target.Draining && m.Target.StartedAt != 0 {
			if l.entries == nil {
				l.entries = map[string]prober.Member{}
			}
			l.entries[m.ID] = m
		}
	}
	maps.DeleteFunc(l.entries, func(id string, _ prober.Member) bool {
		_, known := slices.BinarySearchFunc(members, id, func(m prober.Member, id string) int {
			return strings.Compare(m.ID, id)
		})
		return !known
	})
}

// get returns the last entry of a member in which its target was leaving.
func (l *leavingMembers) get(id string) (m prober.Member, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok = l.entries[id]
	return m, ok
}

// all returns the last entries of the members in which their targets were leaving.
func (l *leavingMembers) all() []prober.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.entries))
}

// departureOf returns the departure of a target that was leaving.
func departureOf(t prober.Target) departure {
	return departure{
		Instance: t.Instance,
		Start:    t.StartedAt,
	}
}

// sendLeavingEntry sends a daemon the last entry from before its restart in which its target
// was leaving, if any.
func (d *Daemon) sendLeavingEntry(m prober.Member) {
	left, ok := d.leaving.get(m.ID)
	if !ok || left.Incarnation >= m.Incarnation {
		return
	}
	d.sendCalls([]prober.Call{{
		To:      m.Control,
		ID:      m.ID,
		Message: d.newPush(left),
	}})
}

// handleOwnEntry handles an entry of the daemon itself that another daemon has. If it is from
// before a restart, and its target was leaving, that process gets no more requests.
func (d *Daemon) handleOwnEntry(m prober.Member) {
	t := m.Target
	if t == nil || !t.Draining || t.StartedAt == 0 || m.Incarnation >= d.startIncarnation {
		return
	}
	d.announcementMu.Lock()
	defer d.announcementMu.Unlock()
	process := targetProcess{
		instance:  t.Instance,
		startTime: time.UnixMilli(t.StartedAt),
	}
	if d.endedProcesses[process] {
		return
	}
	d.log.Info("target was leaving before the restart", "instance", t.Instance)
	d.endedProcesses[process] = true
	d.endProcesses(departureOf(*t))
}
