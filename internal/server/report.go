package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/forwarder"
	"github.com/coltsfootlane/coltsfootlane/internal/limiter"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
	"github.com/coltsfootlane/coltsfootlane/pkg/classifier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Control methods of the report.
const (
	collectMethod = "report.collect"
	sumMethod     = "report.sum"
	accountMethod = "report.account"
	historyMethod = "report.past"
)

const (
	// defaultReportPeriod is how often counts are sent to other daemons.
	defaultReportPeriod = 10 * time.Second
	// countStoresPerService is the number of daemons that store the counts of a
	// service for the report.
	countStoresPerService = 2
	// historySources is the number of daemons from which a daemon that newly stores
	// the counts of a service requests the earlier counts.
	historySources = 4
	// maxReportCalls limits the concurrent control calls of one report.
	maxReportCalls = 32
)

// CountsRequest requests the stored counts of a service.
type CountsRequest struct {
	Service string `json:"service"`
}

// counts is the state that a daemon keeps for the report: its own counts, the sums
// that it collects from other daemons, and the counts of services that it stores.
type counts struct {
	mu sync.Mutex
	// own are this daemon's counts; collected are the sums of counts from other
	// daemons.
	own       reporter.Sums
	collected reporter.Sums
	// receivedBatches is used only to detect duplicates: it contains the batches that
	// were received before, without their rows.
	receivedBatches reporter.Ledger
	// lastCountedMinute is the last minute for which the target was counted as
	// serving requests.
	lastCountedMinute int64
	// outboxes contain the batches that are to be sent. ledger contains the counts
	// that this daemon stores.
	outboxes map[destination]*reporter.Outbox
	ledger   reporter.Ledger
}

// destination identifies where batches are sent: a control method of a daemon.
type destination struct {
	method string
	id     string
}

// measureCalls returns middleware that counts the results that callers get.
func (d *Daemon) measureCalls(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		start := d.clock.Now()
		answer, err := next(ctx, request)
		c := request.(*forwarder.Call)
		d.countCall(c, answer, err, d.clock.Now().Sub(start))
		return answer, err
	}
}

func (d *Daemon) countCall(c *forwarder.Call, answer any, err error, took time.Duration) {
	if c.Request.Context().Err() != nil {
		return // the caller gave up, so the result does not show how the service works
	}
	svc, _ := d.state.Load().Service(c.Match.Service)
	t := reporter.Tally{Calls: 1}
	if err != nil || isFailure(answer) || isLate(svc, took) {
		t.Bad = 1
	}
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	d.counts.own.Add(reporter.Key{Service: c.Match.Service}, t)
}

func isFailure(answer any) bool {
	a, ok := answer.(*forwarder.Answer)
	return !ok || a.Response.StatusCode >= 500
}

func isLate(svc parser.Service, took time.Duration) bool {
	goal := svc.Objectives.MaxLatency.Duration
	return goal > 0 && took > goal
}

// countAdmitted counts a request that the local target has served.
func (d *Daemon) countAdmitted(l *forwarder.Local, o limiter.Outcome) {
	t := reporter.Tally{
		Calls: 1,
		Busy:  o.Duration,
	}
	if o.Failed {
		t.Bad = 1
	}
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	if minute := reporter.Minute(d.clock.Now()); minute != d.counts.lastCountedMinute {
		d.counts.lastCountedMinute = minute
		t.Targets = 1
		if a := d.local.Load(); a != nil {
			t.Slots = int64(a.Slots)
		}
	}
	d.counts.own.Add(reporter.Key{Service: l.Service, Version: l.Version, DC: d.settings.DC}, t)
}

// runReports sends counts every period until ctx ends.
func (d *Daemon) runReports(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, d.reportPeriod)
		d.sendCounts(ctx)
	}
	return nil
}

func (d *Daemon) sendCounts(ctx context.Context) {
	d.fillOutboxes()
	for to, o := range d.liveOutboxes() {
		d.sendBatches(ctx, to, o)
	}
}

// fillOutboxes moves the daemon's own and collected counts into the outboxes.
// Own counts go to a collector, which sums them. Collected counts go to the
// daemons that store them.
func (d *Daemon) fillOutboxes() {
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	own, collected := d.counts.own.Drain(), d.counts.collected.Drain()
	for service, rows := range byService(own) {
		ids := d.serviceDaemons(service, service+"/"+d.settings.Name, 1)
		if len(ids) == 0 {
			d.addRows(&d.counts.own, rows)
			continue
		}
		d.queueRows(destination{method: collectMethod, id: ids[0]}, rows)
	}
	for service, rows := range byService(collected) {
		ids := d.serviceDaemons(service, service, countStoresPerService)
		if len(ids) == 0 {
			d.addRows(&d.counts.collected, rows)
			continue
		}
		for _, id := range ids {
			d.queueRows(destination{method: sumMethod, id: id}, rows)
		}
	}
}

func (d *Daemon) addRows(sums *reporter.Sums, rows []reporter.Row) {
	for _, r := range rows {
		sums.Add(r.Key, r.Tally)
	}
}

func byService(rows []reporter.Row) map[string][]reporter.Row {
	services := map[string][]reporter.Row{}
	for _, r := range rows {
		services[r.Service] = append(services[r.Service], r)
	}
	return services
}

// queueRows adds rows to the outbox of a destination. The caller holds
// counts.mu.
func (d *Daemon) queueRows(to destination, rows []reporter.Row) {
	o := d.counts.outboxes[to]
	if o == nil {
		o = &reporter.Outbox{}
		d.counts.outboxes[to] = o
	}
	o.Enqueue(reporter.Batch{
		From:   d.settings.Name,
		Run:    d.startNanos,
		Minute: reporter.Minute(d.clock.Now()),
		Rows:   rows,
	})
}

// liveOutboxes returns the outboxes whose daemon still has a target that takes new
// requests, and drops the others.
func (d *Daemon) liveOutboxes() map[destination]*reporter.Outbox {
	d.counts.mu.Lock()
	defer d.counts.mu.Unlock()
	live := map[destination]*reporter.Outbox{}
	for to, o := range d.counts.outboxes {
		if m, ok := d.members.Get(to.id); !ok || !m.Serves() {
			delete(d.counts.outboxes, to)
			continue
		}
		live[to] = o
	}
	return live
}

// sendBatches sends the pending batches of an outbox in order, until one fails.
func (d *Daemon) sendBatches(ctx context.Context, to destination, o *reporter.Outbox) {
	for {
		d.counts.mu.Lock()
		batch, ok := o.Next()
		d.counts.mu.Unlock()
		if !ok {
			return
		}
		var done Done
		if err := d.callPeer(ctx, to.id, to.method, batch, &done); err != nil {
			d.log.Debug("cannot send counts", "to", to.id, "err", err)
			return
		}
		d.counts.mu.Lock()
		o.Acknowledge(batch.Number)
		d.counts.mu.Unlock()
	}
}

// callPeer makes a control call to a member.
func (d *Daemon) callPeer(ctx context.Context, id, method string, params, result any) error {
	m, ok := d.members.Get(id)
	if !ok {
		return classifier.NewFailure(classifier.NotRun, "member unknown", nil)
	}
	return d.client.Call(ctx, m.Control, method, params, result)
}

// serviceDaemons returns up to n daemons beside targets of a service, ranked by
// rendezvous hashing of the key.
func (d *Daemon) serviceDaemons(service, key string, n int) []string {
	members := d.members.ServingService(service)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ranker.Top(key, ids, n)
}

// handleCollect adds another daemon's counts to the collected sums.
func (d *Daemon) handleCollect(_ context.Context, b reporter.Batch) (Done, error) {
	if err := b.Validate(); err != nil {
		return Done{}, err
	}
	if d.counts.receivedBatches.Add(reporter.Batch{From: b.From, Run: b.Run, Number: b.Number, Minute: b.Minute}) {
		d.counts.mu.Lock()
		defer d.counts.mu.Unlock()
		d.addRows(&d.counts.collected, b.Rows)
	}
	return Done{Done: true}, nil
}

// handleSum stores the sums of a collector. If the daemon has no counts of a service
// yet, it first imports those that other daemons have stored.
func (d *Daemon) handleSum(ctx context.Context, b reporter.Batch) (Done, error) {
	if err := b.Validate(); err != nil {
		return Done{}, err
	}
	for service := range byService(b.Rows) {
		if !d.counts.ledger.Contains(service) {
			d.importHistory(ctx, service, b.Minute)
		}
	}
	d.counts.ledger.Add(b)
	return Done{Done: true}, nil
}

// importHistory copies the stored counts of a service from the daemon that has
// counted the most calls, out of those that may have stored them. It ignores
// counts from endMinute onwards, so that nothing is counted twice.
func (d *Daemon) importHistory(ctx context.Context, service string, endMinute int64) {
	var largest reporter.History
	for _, id := range d.serviceDaemons(service, service, historySources) {
		if id == d.settings.Name {
			continue
		}
		var h reporter.History
		if err := d.callPeer(ctx, id, historyMethod, CountsRequest{Service: service}, &h); err != nil {
			d.log.Debug("cannot import stored counts", "service", service, "from", id, "err", err)
			continue
		}
		if h.Calls() > largest.Calls() {
			largest = h
		}
	}
	d.counts.ledger.Import(service, largest, endMinute)
}

func (d *Daemon) handleHistory(_ context.Context, r CountsRequest) (reporter.History, error) {
	return d.counts.ledger.History(r.Service), nil
}

func (d *Daemon) handleAccount(_ context.Context, r CountsRequest) (reporter.Account, error) {
	return d.counts.ledger.Account(r.Service, d.clock.Now()), nil
}

// reportEndpoint requests the counts of all services and builds the report.
func (d *Daemon) reportEndpoint(ctx context.Context, _ any) (any, error) {
	state := d.state.Load()
	var mu sync.Mutex
	var accounts []reporter.Account
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReportCalls)
	for _, svc := range state.Services() {
		group.Go(func() error {
			a, ok := d.fetchAccount(ctx, svc.Name)
			if !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			accounts = append(accounts, a)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(accounts, func(a, b reporter.Account) int { return cmp.Compare(a.Service, b.Service) })
	return reporter.Build(state, accounts, d.clock.Now()), nil
}

// fetchAccount requests the counts of a service from each daemon that stores them,
// and returns those with the most calls. A daemon that has only recently started to
// store them may have fewer.
func (d *Daemon) fetchAccount(ctx context.Context, service string) (largest reporter.Account, ok bool) {
	for _, id := range d.serviceDaemons(service, service, countStoresPerService) {
		var a reporter.Account
		if err := d.callPeer(ctx, id, accountMethod, CountsRequest{Service: service}, &a); err != nil {
			d.log.Debug("cannot fetch counts of service", "service", service, "vm", id, "err", err)
			continue
		}
		if !ok || a.Total() > largest.Total() {
			largest, ok = a, true
		}
	}
	return largest, ok
}
