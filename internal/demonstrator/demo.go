package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/emulator"
	"github.com/coltsfootlane/coltsfootlane/internal/reporter"
	"github.com/coltsfootlane/coltsfootlane/internal/server"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Parameters of the demonstration.
const (
	demoService = "renewal"
	demoSlots   = 6
	demoWork    = 5 * time.Millisecond
	// demoWaitTimeout is the timeout of each wait.
	demoWaitTimeout = 20 * time.Second
	// demoRolloutTime is the time from a rollout's publication to its deadline.
	demoRolloutTime = 45 * time.Second
)

// demo is the state of one demonstration.
type demo struct {
	out     io.Writer
	mesh    *Mesh
	callers *callers
	start   time.Time
}

// Run runs the demonstration and writes its progress to out: a published service
// that answers calls, a completed rollout, a rollout of a bad version that is
// rolled back, and a data centre that is evacuated and restored. The daemons log
// to log. Run returns when the demonstration is over or ctx is done.
func Run(ctx context.Context, out, log io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	d := &demo{
		out:   out,
		mesh:  NewMesh(log),
		start: time.Now(),
	}
	defer d.mesh.Wait()
	defer cancel()
	defer d.mesh.StopTargets()
	steps := []func(context.Context) error{
		d.startMesh,
		d.publishInitial,
		d.rollOutGood,
		d.rollOutBad,
		d.evacuateAndRestore,
		d.printReport,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printLine writes one line that begins with the time since the start.
func (d *demo) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// startMesh starts three data centres with one VM and target for each version.
func (d *demo) startMesh(ctx context.Context) error {
	for _, dc := range []string{"zilina", "martin", "poprad"} {
		for _, version := range []string{"v1", "v2", "v3"} {
			if err := d.startVM(ctx, dc, version); err != nil {
				return err
			}
		}
	}
	d.printLine("started a stand-in platform and %d VMs in 3 data centres; v3 of the targets is bad", len(d.mesh.VMs))
	return nil
}

func (d *demo) startVM(ctx context.Context, dc, version string) error {
	v, err := d.mesh.AddVM(ctx, dc+"-"+version, dc)
	if err != nil {
		return err
	}
	b := emulator.Behaviour{Work: demoWork}
	if version == "v3" {
		b.FailPercent = 60
	}
	return d.mesh.StartTarget(ctx, v, demoService, version, demoSlots, b)
}

func demoDeclaration(version string, move *parser.Move) parser.Service {
	return parser.Service{
		Name:     demoService,
		Versions: []parser.Version{{Name: version, Share: 100}},
		Routes: []parser.Route{
			{
				Path:    "/renewals",
				Timeout: parser.Duration{Duration: 2 * time.Second},
			},
		},
		Objectives: parser.Objectives{
			MaxLatency: parser.Duration{Duration: 300 * time.Millisecond},
			GoodShare:  0.99,
		},
	}.WithMove(move)
}

func (d *demo) publishInitial(ctx context.Context) error {
	if err := d.mesh.Publish(ctx, demoDeclaration("v1", nil)); err != nil {
		return err
	}
	published := time.Now()
	err := Await(ctx, demoWaitTimeout, func() bool { return d.inForce(ctx, 1) })
	if err != nil {
		return err
	}
	d.printLine("published renewal v1; in force at every daemon after %v", time.Since(published).Round(time.Millisecond))
	err = Await(ctx, demoWaitTimeout, func() bool {
		r, err := d.mesh.VMs[0].Call(ctx, "GET", "/renewals/17")
		return err == nil && r.Version() == "v1"
	})
	if err != nil {
		return err
	}
	d.callers = startCallers(ctx, d.mesh.VMs)
	d.printLine("calls flow through all daemons")
	return nil
}

// inForce reports whether every daemon has applied at least the revision.
func (d *demo) inForce(ctx context.Context, revision uint64) bool {
	for _, v := range d.mesh.VMs {
		var s struct {
			Revision uint64 `json:"revision"`
		}
		if err := v.OperatorRequest(ctx, "GET", "/v1/status", nil, &s); err != nil || s.Revision < revision {
			return false
		}
	}
	return true
}

func (d *demo) rollOutGood(ctx context.Context) error {
	phase, err := d.rollOut(ctx, "v1", "v2")
	if err == nil && phase != applier.Done {
		err = Class.New("rollout of the good version ended in phase %s", phase)
	}
	return err
}

func (d *demo) rollOutBad(ctx context.Context) error {
	phase, err := d.rollOut(ctx, "v2", "v3")
	if err == nil && phase != applier.RolledBack {
		err = Class.New("rollout of the bad version ended in phase %s", phase)
	}
	return err
}

// rollOut publishes a rollout and waits for its outcome.
func (d *demo) rollOut(ctx context.Context, from, to string) (applier.Phase, error) {
	m := &parser.Move{
		To:    to,
		By:    time.Now().Add(demoRolloutTime).UTC(),
		Steps: []int{5, 50, 100},
		Hold:  parser.Duration{Duration: time.Second},
	}
	if err := d.mesh.Publish(ctx, demoDeclaration(from, m)); err != nil {
		return "", err
	}
	d.printLine("published a move from %s to %s in steps of 5, 50 and 100%%", from, to)
	var lastStatus applier.MoveStatus
	err := Await(ctx, demoRolloutTime+demoWaitTimeout, func() bool {
		s, _ := d.mesh.State(ctx).Move(demoService)
		if s.Phase != lastStatus.Phase || s.Share != lastStatus.Share {
			d.printLine("  move to %s: %s, %d%% %s", to, s.Phase, s.Share, s.Reason)
			lastStatus = s
		}
		return s.Move.To == to && s.Phase.Final()
	})
	d.printLine("  answers so far: %s", d.callers.formatCounts())
	return lastStatus.Phase, err
}

func (d *demo) evacuateAndRestore(ctx context.Context) error {
	const dc = "zilina"
	d.mesh.Platform.SetFaults(emulator.Faults{Outage: true})
	operatorVM := d.mesh.VMs[len(d.mesh.VMs)-1]
	if err := operatorVM.OperatorRequest(ctx, "PUT", "/v1/zones/"+dc, server.ZoneSetting{Evacuated: true, By: "demo"}, nil); err != nil {
		return err
	}
	evacuated := time.Now()
	d.printLine("took data centre %s out, with the platform down", dc)
	err := Await(ctx, demoWaitTimeout, func() bool {
		before := d.served(dc)
		time.Sleep(300 * time.Millisecond)
		return d.served(dc) == before
	})
	if err != nil {
		return err
	}
	d.printLine("  no new work there %v after; its callers are served elsewhere", time.Since(evacuated).Round(10*time.Millisecond))
	d.mesh.Platform.SetFaults(emulator.Faults{})
	before := d.served(dc)
	if err := operatorVM.OperatorRequest(ctx, "PUT", "/v1/zones/"+dc, server.ZoneSetting{By: "demo"}, nil); err != nil {
		return err
	}
	d.printLine("platform up, %s back by a ramp", dc)
	err = Await(ctx, demoWaitTimeout, func() bool { return d.served(dc) > before })
	d.printLine("  %s carries load again", dc)
	return err
}

// served returns the number of requests that a data centre's targets have accepted.
func (d *demo) served(dc string) uint64 {
	var n uint64
	for _, v := range d.mesh.VMs {
		if v.Settings.DC == dc {
			n += v.Target.Served()
		}
	}
	return n
}

func (d *demo) printReport(ctx context.Context) error {
	time.Sleep(3 * d.mesh.ReportPeriod)
	d.callers.stop()
	var r reporter.Report
	if err := d.mesh.VMs[0].OperatorRequest(ctx, "GET", "/v1/report", nil, &r); err != nil {
		return err
	}
	d.printLine("callers saw: %s", d.callers.formatCounts())
	_, _ = fmt.Fprintln(d.out)
	return r.WriteText(d.out)
}
