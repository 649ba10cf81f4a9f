package sidecar

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/carrier"
	"github.com/coltsfootlane/coltsfootlane/internal/deliverer"
	"github.com/coltsfootlane/coltsfootlane/internal/elector"
	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/loader"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/tallier"
	"github.com/coltsfootlane/coltsfootlane/internal/timekeeper"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
)

// UsageReport is a report of what targets began to run in a window.
type UsageReport struct {
	// Address is the IP:port of the platform's API.
	Address string
	// Holder is the daemon's name and Fence the fence of its term.
	Holder string
	Fence  uint64
	// Window is the window's number, and Counts has the requests by customer.
	Window int64
	Counts map[string]int
}

// Parameters of the duty to report usage.
const (
	// collectPeriod is the interval at which the holder collects counts, and standbyPeriod that
	// of the other candidates.
	collectPeriod = time.Second
	standbyPeriod = 2 * time.Second
	// answerTime is the time after its last answer for which a daemon that has left is asked.
	answerTime = 5 * time.Second
	// handOverMargin is how much longer than collectPeriod a daemon that stops waits for a call.
	handOverMargin = 200 * time.Millisecond
	// maxCollections bounds the collecting calls in progress. A call that took longer than
	// maxClockDelay says nothing about the other daemon's clock.
	maxCollections = 32
	maxClockDelay  = 100 * time.Millisecond
	// clockPause is the least time between two corrections of a daemon's clock.
	clockPause = 5 * time.Second
	// candidates is the number of daemons that campaign, and substitutes that while no
	// holder is seen for vacancyTime beyond the lease.
	candidates  = 3
	substitutes = 12
	vacancyTime = 2 * time.Second
	// campaignPause is the pause of a daemon that is no candidate and after a failed call. It
	// doubles with each further one, up to maxCampaignPause.
	campaignPause    = 500 * time.Millisecond
	maxCampaignPause = 2 * time.Second
	// joinPollPeriod is the interval at which a daemon that starts checks whether it has looked
	// up the others.
	joinPollPeriod = 50 * time.Millisecond
	// settleTime is the time within which targets refuse what they don't run.
	settleTime = 400 * time.Millisecond
	// patienceShare is the share of the time until a report is late for which it waits for the
	// counts of all daemons.
	patienceShare = 0.8
	// reportPeriod is the interval of looking for reports that are due. It is also the first
	// pause after a failed one, and maxReportPause the longest.
	reportPeriod   = 200 * time.Millisecond
	maxReportPause = 2 * time.Second
	// maxRefusals is the number of refusals that retrying does not change after which a report
	// is given up, so that the later ones can be sent.
	maxRefusals = 5
	// paceShare is the share of the platform's rate of calls that is used.
	paceShare = 0.5
	// keptWindows is the number of windows that are kept while they can't be reported, and
	// fixedWindows that of those that are kept after their reports were fixed.
	keptWindows  = 24
	fixedWindows = 2
)

// usageDuty is the daemon's part in the duty to report usage.
type usageDuty struct {
	daemon   *Daemon
	settings atomic.Pointer[loader.Duty]
	calendar tallier.Calendar
	read     func() timekeeper.Reading
	clock    *timekeeper.Steadier
	ledger   *tallier.Ledger
	// book holds the collected counts of a holder or a candidate.
	book    atomic.Pointer[tallier.Book]
	elector *elector.Elector
	client  *http.Client
	// first is the window in which the daemon started.
	first int64

	// fence and fixed are the highest fence and the last window with a fixed report that are
	// known from other daemons or the own term.
	fence atomic.Uint64
	fixed atomic.Int64
	// asking is set while the counts that a report waits for are collected.
	asking atomic.Bool
	// delivered is the last window whose report the platform has accepted from this daemon.
	delivered atomic.Int64

	mu sync.Mutex
	// holderSeen is the time of the last collecting call of a holder, and corrected that of
	// the last correction of the clock.
	holderSeen, corrected timekeeper.Reading
	// told is the sequence number of the ledger up to which a holder was told the counts.
	told uint64
}

// newUsageDuty returns the daemon's part in the duty, or nil if the settings have none.
func newUsageDuty(d *Daemon) *usageDuty {
	s, ok := d.sidecar.Duties[d.platform.UsageDuty]
	if !ok {
		return nil
	}
	read := timekeeper.System{}.Read
	u := &usageDuty{
		daemon: d,
		calendar: tallier.Calendar{
			Window:   s.Window.Duration,
			Settle:   settleTime,
			Patience: time.Duration(patienceShare * float64(s.Late.Duration)),
		},
		read:   read,
		clock:  timekeeper.NewSteadier(func() time.Time { return d.clock.Now().Round(0) }, read),
		ledger: tallier.NewLedger(rand.Uint64()),
		elector: &elector.Elector{
			Store:    d.platform.Store,
			Prefix:   d.platform.DutyPrefix + d.platform.UsageDuty + "/",
			Name:     d.settings.Name,
			Lease:    s.Lease.Duration,
			Margin:   s.Thaw.Duration,
			Read:     read,
			NewToken: uuid.NewString,
		},
		client: &http.Client{
			Transport: newUsageTransport(),
		},
	}
	u.settings.Store(&s)
	u.book.Store(tallier.NewBook())
	u.holderSeen, u.corrected = read(), read()
	u.first = u.calendar.Number(u.now())
	return u
}

// reload applies the settings that can change without a restart.
func (u *usageDuty) reload(s *loader.Sidecar) {
	if u == nil {
		return
	}
	if duty, ok := s.Duties[u.daemon.platform.UsageDuty]; ok {
		u.settings.Store(&duty)
	}
}

// newUsageTransport returns the transport of reports. It resets the connection of a report
// that is given up, since the kernel would send it again after the lease has ended.
func newUsageTransport() http.RoundTripper {
	t := forwarder.NewTransportWith(forwarder.TransportOptions{
		MaxConnections: 1,
		Dial:           controlTimeout,
		Idle:           controlTimeout,
	})
	t.DisableKeepAlives = true
	return t
}

// now returns the time of day that a jump of the machine's does not move.
func (u *usageDuty) now() time.Time { return u.clock.At(u.read().Monotonic) }

// beforeForward is called before an attempt is forwarded to the target. It checks the
// quarantine, and counts the attempt as running and, if it belongs to a
// customer, as usage, until the target refuses it.
func (d *Daemon) beforeForward(a *carrier.Attempt) (connected func(), done func(r deliverer.Result, connectionLost bool), err error) {
	checkedConnected, checkedDone, err := d.trackRunning(a)
	u := d.usage
	if err != nil || u == nil || a.Identity.Customer == "" {
		return checkedConnected, checkedDone, err
	}
	var window atomic.Int64
	connected = func() {
		window.Store(u.calendar.Number(u.now()))
		u.ledger.Add(window.Load(), a.Identity.Customer, 1)
		checkedConnected()
	}
	done = func(r deliverer.Result, connectionLost bool) {
		if window.Load() != 0 && r.Err != nil && classifier.VerdictOf(r.Err) == classifier.NotRun {
			u.ledger.Add(window.Load(), a.Identity.Customer, -1)
		}
		checkedDone(r, connectionLost)
	}
	return connected, done, nil
}

// countsRequest asks a daemon for the counts that have changed.
type countsRequest struct {
	// Incarnation and Sequence are the sender's position in the receiver's ledger.
	Incarnation uint64 `json:"inc,omitempty"`
	Sequence    uint64 `json:"seq,omitempty"`
	// Holding means that the sender holds the duty.
	Holding bool `json:"holding,omitempty"`
	// Fence and Window are the highest fence and the last window with a fixed report that the
	// sender knows.
	Fence  uint64 `json:"fence,omitempty"`
	Window int64  `json:"window,omitempty"`
	// Correction is the time by which the receiver's clock has to be moved, in milliseconds.
	// Consensus is the time on which most clocks agree, in Unix milliseconds, by which the
	// receiver sees whether it still has to.
	Correction int64 `json:"correction,omitempty"`
	Consensus  int64 `json:"consensus,omitempty"`
}

// countsReply is the answer to a countsRequest.
type countsReply struct {
	tallier.Delta
	// Now is the time up to which the counts are, in Unix milliseconds.
	Now    int64  `json:"now"`
	Fence  uint64 `json:"fence,omitempty"`
	Window int64  `json:"window,omitempty"`
}

// handleCounts answers a daemon that collects counts.
func (u *usageDuty) handleCounts(_ context.Context, r countsRequest) (countsReply, error) {
	u.learn(r.Fence, r.Window)
	u.mu.Lock()
	now := u.read()
	if r.Holding {
		u.holderSeen = now
	}
	u.mu.Unlock()
	if r.Correction != 0 {
		u.correctClock(time.Duration(r.Correction)*time.Millisecond, time.UnixMilli(r.Consensus))
	}
	reply := countsReply{
		Now:    u.now().UnixMilli(),
		Fence:  u.fence.Load(),
		Window: u.fixed.Load(),
	}
	reply.Delta = u.ledger.Since(r.Incarnation, r.Sequence)
	if r.Holding {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.told = max(u.told, reply.Sequence)
	}
	return reply, nil
}

// handOver waits at the end of a shutdown until a holder was told the last counts, if there is
// one. It ends before the grace period does.
func (u *usageDuty) handOver() {
	if u == nil {
		return
	}
	end := u.daemon.clock.Now().Add(collectPeriod + handOverMargin)
	if servesUntil := u.daemon.servesUntil(); servesUntil.Before(end) {
		end = servesUntil
	}
	for u.daemon.clock.Now().Before(end) && u.hasMore() {
		time.Sleep(shutdownPollInterval)
	}
}

// hasMore reports whether a holder asks for counts and was not told all of them.
func (u *usageDuty) hasMore() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.told < u.ledger.Sequence() && u.read().Since(u.holderSeen) < 2*collectPeriod
}

// correctClock moves the clock, unless another daemon has just made it do so.
func (u *usageDuty) correctClock(by time.Duration, consensus time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now, wrong := u.read(), consensus.Sub(u.now())
	if now.Since(u.corrected) < clockPause || wrong.Abs() <= tallier.MaxClockError || (wrong > 0) != (by > 0) {
		return
	}
	u.corrected = now
	u.clock.Correct(by)
	u.daemon.incrementCounter("duty.clock")
	u.daemon.log.Warn("time of day corrected by that of the other daemons", "by", by)
}

// learn records a fence and a window with a fixed report that another daemon knows.
func (u *usageDuty) learn(fence uint64, fixed int64) {
	raise(&u.fence, fence)
	u.elector.RaiseFloor(fence)
	raise(&u.fixed, fixed)
	u.ledger.Forget(fixed - fixedWindows + 1)
}

// raise sets a value to n if that is higher.
func raise[T int64 | uint64](value interface {
	Load() T
	CompareAndSwap(before, after T) bool
}, n T,
) {
	for {
		before := value.Load()
		if n <= before || value.CompareAndSwap(before, n) {
			return
		}
	}
}

// runUsage takes part in the duty to report usage until ctx ends.
func (d *Daemon) runUsage(ctx context.Context) {
	if d.usage == nil {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for _, run := range []func(context.Context){d.usage.campaign, d.usage.collect, d.usage.report} {
		group.Go(func() { run(ctx) })
	}
}

// isCandidate reports whether the daemon may campaign: it is one of the first by rendezvous
// hashing, each in another data centre as far as possible.
func (u *usageDuty) isCandidate() bool {
	d := u.daemon
	if d.stopping.Load() {
		return false
	}
	u.mu.Lock()
	vacant := u.read().Since(u.holderSeen) > u.elector.Lease+vacancyTime
	u.mu.Unlock()
	n := candidates
	if vacant {
		n = substitutes
	}
	return slices.Contains(d.dutyCandidates(n), d.settings.Name)
}

// dutyCandidates returns the names of the first n candidates of a duty.
func (d *Daemon) dutyCandidates(n int) []string {
	byDC := map[string][]string{}
	for _, m := range d.members.All() {
		if m.Status == prober.Alive {
			byDC[m.DC] = append(byDC[m.DC], m.ID)
		}
	}
	var names, rest []string
	for _, dc := range ranker.Top("duty", slices.Collect(maps.Keys(byDC)), n) {
		ranked := ranker.Top("duty", byDC[dc], n)
		names, rest = append(names, ranked[0]), append(rest, ranked[1:]...)
	}
	return append(names, ranker.Top("duty", rest, n-len(names))...)
}

// campaign takes the duty when it is vacant, and keeps it, until ctx ends.
func (u *usageDuty) campaign(ctx context.Context) {
	u.awaitMembers(ctx)
	pause := campaignPause
	for ctx.Err() == nil {
		if t, held := u.elector.Term(); held {
			u.keep(ctx, t)
			continue
		}
		if !u.isCandidate() {
			sleep(ctx, campaignPause)
			continue
		}
		err := u.elector.Campaign(ctx)
		u.daemon.observeStoreEra()
		if errors.Is(err, elector.ErrHeld) {
			err = u.elector.AwaitVacancy(ctx, 2*u.elector.Lease, u.isCandidate)
		}
		if err != nil {
			u.daemon.log.Debug("campaign for the duty failed", "err", err)
			sleep(ctx, pause)
			pause = min(maxCampaignPause, 2*pause)
			continue
		}
		pause = campaignPause
		if t, held := u.elector.Term(); held {
			u.learn(t.Record.Fence, t.Record.Window)
			u.daemon.incrementCounter("duty.terms")
			u.daemon.log.Info("duty taken", "fence", t.Record.Fence, "lastfixed", t.Record.Window)
		}
	}
}

// awaitMembers waits after the start until the daemon knows others. Each daemon is a candidate
// among those that it knows, so all would campaign if they start together.
func (u *usageDuty) awaitMembers(ctx context.Context) {
	for !u.daemon.joined.Load() && ctx.Err() == nil {
		sleep(ctx, joinPollPeriod)
	}
	sleep(ctx, campaignPause)
}

// keep renews the lease of a term once, or resigns if the daemon stops.
func (u *usageDuty) keep(ctx context.Context, t elector.Term) {
	if u.daemon.stopping.Load() {
		u.daemon.log.Info("duty given up", "fence", t.Record.Fence, "err", u.elector.Resign(ctx))
		return
	}
	sleep(ctx, u.elector.Lease/4)
	err := u.elector.Renew(ctx)
	u.daemon.observeStoreEra()
	if errors.Is(err, elector.ErrLost) {
		u.daemon.log.Warn("duty lost", "fence", t.Record.Fence)
	} else if err != nil {
		u.daemon.log.Warn("duty not renewed", "fence", t.Record.Fence, "left", u.elector.Remaining(), "err", err)
	}
}

// collect collects counts while the daemon is the holder or a candidate, until ctx ends.
func (u *usageDuty) collect(ctx context.Context) {
	var consensus tallier.Consensus
	for rounds := 0; ctx.Err() == nil; rounds++ {
		sleep(ctx, collectPeriod)
		u.clock.Sample()
		u.ledger.Forget(u.calendar.Number(u.now()) - keptWindows)
		_, holding := u.elector.Term()
		switch {
		case holding, u.isCandidate() && rounds%int(standbyPeriod/collectPeriod) == 0:
			consensus = tallier.Agree(u.collectAll(ctx, holding, consensus))
		case !u.isCandidate():
			u.book.Store(tallier.NewBook())
			consensus = tallier.Consensus{}
		}
	}
}

// collectAll collects the counts of all daemons once, and corrects the clocks that differed from
// the consensus of the round before. It returns the offsets of the daemons' clocks from the own
// monotonic one.
func (u *usageDuty) collectAll(ctx context.Context, holding bool, consensus tallier.Consensus) map[string]time.Duration {
	d := u.daemon
	var mu sync.Mutex
	offsets := map[string]time.Duration{}
	// Daemons that have left are asked for their last counts until they don't answer any more.
	answered := u.now().Add(-answerTime)
	var group errgroup.Group
	group.SetLimit(maxCollections)
	for _, m := range d.members.All() {
		if m.Status <= prober.Suspect || (m.Status == prober.Left && len(u.book.Load().Missing([]string{m.ID}, answered)) == 0) {
			group.Go(func() error {
				if offset, ok := u.collectFrom(ctx, m, holding, consensus); ok {
					mu.Lock()
					defer mu.Unlock()
					offsets[m.ID] = offset
				}
				return nil
			})
		}
	}
	_ = group.Wait() // the functions never return an error
	u.book.Load().Forget(max(u.fixed.Load()-fixedWindows+1, u.calendar.Number(u.now())-keptWindows), u.liveDaemons())
	return offsets
}

// collectMissing collects the counts of daemons that a report waits for, unless it does already.
// Daemons that have just started would otherwise hold it up until the next round, and others
// start meanwhile.
func (u *usageDuty) collectMissing(ctx context.Context, missing []string) {
	if len(missing) == 0 || u.asking.Swap(true) {
		return
	}
	go func() {
		defer u.asking.Store(false)
		var group errgroup.Group
		group.SetLimit(maxCollections)
		for _, name := range missing {
			if m, ok := u.daemon.members.Get(name); ok {
				group.Go(func() error {
					u.collectFrom(ctx, m, true, tallier.Consensus{})
					return nil
				})
			}
		}
		_ = group.Wait() // the functions never return an error
		sleep(ctx, reportPeriod)
	}()
}

// collectFrom collects the counts of one daemon. It returns the offset of its clock from the own
// monotonic one, if the call was fast enough to tell.
func (u *usageDuty) collectFrom(ctx context.Context, m prober.Member, holding bool, consensus tallier.Consensus) (time.Duration, bool) {
	d := u.daemon
	book := u.book.Load()
	incarnation, sequence := book.Position(m.ID)
	request := countsRequest{
		Incarnation: incarnation,
		Sequence:    sequence,
		Holding:     holding,
		Fence:       u.fence.Load(),
		Window:      u.fixed.Load(),
	}
	start := u.read()
	if by, wrong := consensus.Corrections[m.ID]; wrong {
		request.Correction = by.Milliseconds()
		request.Consensus = (start.Monotonic + consensus.Offset).Milliseconds()
	}
	var reply countsReply
	var err error
	if m.ID == d.settings.Name {
		reply, err = u.handleCounts(ctx, request)
	} else {
		err = d.client.Call(ctx, m.Control, countsMethod, request, &reply)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		book.Close(m.ID, u.now())
	}
	if err != nil {
		d.incrementCounter("duty.uncollected")
		d.log.Debug("counts not collected", "peer", m.ID, "err", err)
		return 0, false
	}
	u.learn(reply.Fence, reply.Window)
	book.Apply(m.ID, reply.Delta, time.UnixMilli(reply.Now))
	took := u.read().Since(start)
	return time.Duration(reply.Now)*time.Millisecond - start.Monotonic - took/2, took <= maxClockDelay
}

// liveDaemons returns the names of the daemons whose counts a report waits for.
func (u *usageDuty) liveDaemons() []string {
	var names []string
	for _, m := range u.daemon.members.All() {
		if m.Status <= prober.Suspect {
			names = append(names, m.ID)
		}
	}
	return names
}

// report fixes and sends the reports that are due while the daemon is the holder, until ctx
// ends.
func (u *usageDuty) report(ctx context.Context) {
	var sent reportState
	for pause := reportPeriod; ctx.Err() == nil; pause = max(reportPeriod, sent.pause) {
		sleep(ctx, pause)
		t, held := u.elector.Term()
		if held && t.Record.Token != sent.token {
			sent = reportState{token: t.Record.Token}
		}
		if !held || u.elector.Remaining() <= 0 {
			continue
		}
		if t.Record.Window == 0 || t.Record.Window == sent.window {
			fixed, err := u.fixNext(ctx, t)
			if err != nil {
				sent = sent.withFailure(0)
			}
			if !fixed {
				continue
			}
			if t, held = u.elector.Term(); !held || u.elector.Remaining() <= 0 {
				continue
			}
		}
		sent = u.send(ctx, t, sent)
	}
}

// reportState is what a holder has sent in its term.
type reportState struct {
	token string
	// window is the last window whose report was accepted.
	window int64
	// pause is the time until the next call, or 0 for reportPeriod.
	pause time.Duration
	// refusals is the number of refusals of the present report.
	refusals int
}

// withFailure returns the state after a failed call, with a longer pause, which is at least
// retryAfter.
func (s reportState) withFailure(retryAfter time.Duration) reportState {
	s.pause = max(retryAfter, min(maxReportPause, max(reportPeriod, 2*s.pause)))
	return s
}

// isRefusal reports whether a status means that sending the report again is pointless.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// fixNext fixes the report of the next window if it is due, and reports whether it did.
func (u *usageDuty) fixNext(ctx context.Context, t elector.Term) (fixed bool, err error) {
	d := u.daemon
	now := u.now()
	next := max(t.Record.Window, u.fixed.Load()) + 1
	if next == 1 {
		next = u.first
	}
	if oldest := u.calendar.Number(now) - keptWindows; next < oldest {
		d.log.Error("usage of windows not reported, they are too old", "first", next, "last", oldest-1)
		next = oldest
	}
	due, missing := u.calendar.Due(next, now, u.book.Load(), u.liveDaemons())
	if !due {
		if now.Sub(u.calendar.End(next)) > settleTime+collectPeriod {
			u.collectMissing(ctx, missing)
		}
		return false, nil
	}
	counts := u.book.Load().Sum(next)
	if err := u.elector.Fix(ctx, next, counts); err != nil {
		d.log.Warn("usage report not fixed", "window", next, "fence", t.Record.Fence, "err", err)
		return false, err
	}
	u.learn(t.Record.Fence, next)
	if len(missing) > 0 {
		d.incrementCounter("duty.incomplete")
		d.log.Warn("usage report lacks counts", "window", next, "missing", missing)
	}
	d.log.Info("usage report fixed", "window", next, "fence", t.Record.Fence, "customers", len(counts), "requests", counts.Total(), "sinceend", now.Sub(u.calendar.End(next)))
	return true, nil
}

// send sends the report that is fixed, and returns what was sent then.
func (u *usageDuty) send(ctx context.Context, t elector.Term, sent reportState) reportState {
	d := u.daemon
	s := u.settings.Load()
	ctx, cancel := context.WithTimeout(ctx, u.elector.Remaining())
	defer cancel()
	r, err := d.platform.NewUsageReport(ctx, UsageReport{
		Address: s.Address,
		Holder:  d.settings.Name,
		Fence:   t.Record.Fence,
		Window:  t.Record.Window,
		Counts:  t.Record.Report,
	})
	status, retryAfter := 0, time.Duration(0)
	if err == nil {
		status, retryAfter, err = u.call(r)
	}
	if err == nil && status == http.StatusOK {
		u.delivered.Store(t.Record.Window)
		d.incrementCounter("duty.reports")
		d.log.Info("usage report accepted", "window", t.Record.Window, "fence", t.Record.Fence, "sinceend", u.now().Sub(u.calendar.End(t.Record.Window)))
		return reportState{
			token:  sent.token,
			window: t.Record.Window,
			pause:  time.Duration(float64(time.Second) / (paceShare * s.Pace)),
		}
	}
	d.incrementCounter("duty.failures")
	sent = sent.withFailure(retryAfter)
	if isRefusal(status) {
		sent.refusals++
	}
	if sent.refusals >= maxRefusals {
		d.incrementCounter("duty.refused")
		d.log.Error("usage report given up", "window", t.Record.Window, "fence", t.Record.Fence, "status", status)
		return reportState{
			token:  sent.token,
			window: t.Record.Window,
		}
	}
	d.log.Warn("usage report not accepted", "window", t.Record.Window, "fence", t.Record.Fence, "status", status, "pause", sent.pause, "err", err)
	return sent
}

// call makes a call to the platform and returns its status, and the time after which the
// platform accepts the next call (Retry-After).
func (u *usageDuty) call(r *http.Request) (status int, retryAfter time.Duration, err error) {
	resp, err := u.client.Do(r)
	if err != nil {
		return 0, 0, Class.Wrap(err)
	}
	_ = resp.Body.Close()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && !math.IsInf(seconds, 0) {
		retryAfter = min(maxReportPause, time.Duration(seconds*float64(time.Second)))
	}
	return resp.StatusCode, retryAfter, nil
}

// observe updates the metrics of the duty.
func (u *usageDuty) observe() {
	if u == nil {
		return
	}
	holding, late := int64(0), time.Duration(0)
	if t, held := u.elector.Term(); held {
		holding = 1
		if next := max(t.Record.Window, u.fixed.Load()) + 1; t.Record.Window != 0 {
			if u.delivered.Load() != t.Record.Window {
				next = t.Record.Window
			}
			late = max(0, u.now().Sub(u.calendar.End(next)))
		}
	}
	for name, value := range map[string]int64{
		"duty.holding":   holding,
		"duty.fence":     int64(u.fence.Load()),
		"duty.fixed":     u.fixed.Load(),
		"duty.delivered": u.delivered.Load(),
		"duty.late":      late.Milliseconds(),
	} {
		metrics.GetOrRegisterGauge(name, u.daemon.metrics).Update(value)
	}
}
