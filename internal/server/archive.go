package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootlane/coltsfootlane/internal/archiver"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// Timing of snapshots.
const (
	// archivePeriod is how often a daemon checks whether a snapshot is due and
	// whether this daemon is selected to write it. The check makes no call to the
	// platform.
	archivePeriod = time.Second
	// archiveJitter is the maximum random delay before an attempt. It separates
	// the attempts of daemons that would make them at the same time.
	archiveJitter = time.Second
	// archiveRetryDelay is the delay after a failed attempt.
	archiveRetryDelay = 10 * time.Second
)

// runArchiver writes a snapshot of the configuration whenever one is due and this
// daemon is selected to write it. It returns when ctx ends.
func (d *Daemon) runArchiver(ctx context.Context) error {
	a := &archiver.Archiver{
		Platform:    d.configLog.Platform,
		LeaseHolder: d.settings.Name,
	}
	var baseRevision, skippedWindow uint64
	for ctx.Err() == nil {
		sleep(ctx, archivePeriod)
		revision := d.state.Load().Revision()
		window := archiver.WindowOf(revision)
		if revision < baseRevision+archiver.EntriesPerSnapshot || window == skippedWindow {
			continue
		}
		wait, ok := d.archiveDelay(window)
		if !ok {
			skippedWindow = window
			continue
		}
		sleep(ctx, wait+rand.N(archiveJitter))
		next, err := a.WriteIfDue(ctx, d.state.Load())
		if err != nil && ctx.Err() == nil {
			d.countArchiveFailure(err)
			sleep(ctx, archiveRetryDelay)
		}
		baseRevision = max(baseRevision, next)
		metrics.GetOrRegisterGauge("archive.base", d.metrics).Update(int64(baseRevision))
	}
	return nil
}

func (d *Daemon) countArchiveFailure(err error) {
	metrics.GetOrRegisterCounter("archive.failed", d.metrics).Inc(1)
	if errors.Is(err, archiver.ErrBusy) {
		d.log.Debug("another daemon is writing the snapshot")
		return
	}
	d.log.Warn("cannot write snapshot", "err", err)
}

// archiveDelay returns how long this daemon waits in a window before it attempts to
// write a snapshot, and whether it attempts at all.
func (d *Daemon) archiveDelay(window uint64) (time.Duration, bool) {
	self := archiver.Candidate{
		ID: d.settings.Name,
		DC: d.settings.DC,
	}
	return archiver.AttemptDelay(window, self, d.archiveCandidates())
}

// archiveCandidates returns all alive daemons, including this one.
func (d *Daemon) archiveCandidates() []archiver.Candidate {
	var candidates []archiver.Candidate
	for _, m := range d.members.All() {
		if m.Status == prober.Alive {
			candidates = append(candidates, archiver.Candidate{
				ID: m.ID,
				DC: m.DC,
			})
		}
	}
	return candidates
}
