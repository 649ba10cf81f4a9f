package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/committer"
	"github.com/coltsfootlane/coltsfootlane/internal/gater"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
	"github.com/coltsfootlane/coltsfootlane/internal/ranker"
	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// Timing of operators' settings for data centres.
const (
	// zoneFactTTL is how long a setting is in force without being committed.
	zoneFactTTL = 24 * time.Hour
	// zoneCommitPeriod is how often a daemon looks for uncommitted settings.
	zoneCommitPeriod = 2 * time.Second
	// zoneTakeoverAge is the age after which another daemon commits a setting
	// that its origin has not committed.
	zoneTakeoverAge = 30 * time.Second
)

// ZoneSetting is an operator's setting for a data centre, the body of PUT
// /v1/zones/{dc}.
type ZoneSetting struct {
	// Evacuated is true to evacuate the data centre: it gets no new requests. False
	// ends the evacuation.
	Evacuated bool `json:"out"`
	// By is the name of the operator.
	By string `json:"by,omitempty"`
}

// zoneRequest is a ZoneSetting with the data centre from the path.
type zoneRequest struct {
	ZoneSetting
	dataCentre string
}

func decodeZone(_ context.Context, r *http.Request) (any, error) {
	z := zoneRequest{dataCentre: r.PathValue("dc")}
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxOperatorBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&z.ZoneSetting); err != nil {
		return nil, badRequestError{Class.New("bad word on a data centre: %w", err)}
	}
	return z, nil
}

// zoneEndpoint applies an operator's setting. The setting takes effect and is
// sent to other daemons at once, even if the platform is unavailable. It is
// committed as soon as the platform is reachable.
func (d *Daemon) zoneEndpoint(_ context.Context, request any) (any, error) {
	z := request.(zoneRequest)
	if !d.isKnownDataCentre(z.dataCentre) {
		return nil, badRequestError{Class.New("no VM of data centre %q is known", z.dataCentre)}
	}
	kind := spreader.DataCentreIn
	if z.Evacuated {
		kind = spreader.DataCentreOut
	}
	d.publishFact(kind, z.dataCentre, z.By, zoneFactTTL)
	return Done{Done: true}, nil
}

func (d *Daemon) isKnownDataCentre(name string) bool {
	if _, ok := d.state.Load().Zone(name); ok {
		return true
	}
	for _, m := range d.members.All() {
		if m.DC == name {
			return true
		}
	}
	return false
}

// buildGate returns a gate with all settings, whether committed or only received as
// facts.
func (d *Daemon) buildGate() gater.Gate {
	var zoneSettings []gater.Setting
	for _, z := range d.state.Load().Zones() {
		zoneSettings = append(zoneSettings, gater.Setting{
			DataCentre: z.DataCentre,
			Evacuated:  z.Evacuated,
			Since:      z.Since,
		})
	}
	for _, f := range d.facts.All() {
		if setting, ok := settingFrom(f); ok {
			zoneSettings = append(zoneSettings, setting)
		}
	}
	return gater.New(zoneSettings...)
}

// settingFrom returns the setting of a data centre that a fact contains, and false
// if the fact is of another kind.
func settingFrom(f spreader.Fact) (gater.Setting, bool) {
	if f.Kind != spreader.DataCentreOut && f.Kind != spreader.DataCentreIn {
		return gater.Setting{}, false
	}
	return gater.Setting{
		DataCentre: f.Subject,
		Evacuated:  f.Kind == spreader.DataCentreOut,
		Since:      f.At,
	}, true
}

// serving returns the members that serve a version. It includes all data
// centres; the balancer weights them by dataCentreShare.
func (d *Daemon) serving(service, version string) []prober.Member {
	return d.members.Serving(service, version)
}

// dataCentreShare returns the fraction of its usual requests, from 0 to 1, that
// a data centre gets.
func (d *Daemon) dataCentreShare(dataCentre string) float64 {
	gate := d.gate.Load()
	if gate == nil {
		return 1
	}
	return gate.Share(dataCentre, d.clock.Now())
}

// isEvacuated reports whether this daemon's data centre is evacuated.
func (d *Daemon) isEvacuated() bool {
	gate := d.gate.Load()
	return gate != nil && gate.Evacuated(d.settings.DC)
}

// runZoneCommits commits settings that exist only as facts, until ctx ends.
func (d *Daemon) runZoneCommits(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, zoneCommitPeriod)
		if zones := d.uncommittedZones(); len(zones) > 0 {
			d.commitZoneChanges(ctx, zones)
		}
	}
	return nil
}

// uncommittedZones returns the settings that this daemon should commit.
func (d *Daemon) uncommittedZones() []applier.Zone {
	state, gate := d.state.Load(), d.gate.Load()
	if gate == nil {
		return nil
	}
	var zones []applier.Zone
	for _, f := range d.facts.All() {
		setting, ok := settingFrom(f)
		if !ok || !d.shouldCommit(f) {
			continue
		}
		latest, _ := gate.Setting(setting.DataCentre)
		committed, _ := state.Zone(setting.DataCentre)
		if latest == setting && setting.Since.After(committed.Since) {
			zones = append(zones, applier.Zone{DataCentre: setting.DataCentre, Evacuated: setting.Evacuated, Since: setting.Since})
		}
	}
	return zones
}

// shouldCommit reports whether this daemon should commit the setting that a fact
// contains. Normally the origin of the fact commits it. If the setting is still not
// committed after zoneTakeoverAge, the alive daemon that rendezvous hashing ranks
// first commits it.
func (d *Daemon) shouldCommit(f spreader.Fact) bool {
	if f.Origin == d.settings.Name {
		return true
	}
	if d.clock.Now().Sub(f.At) < zoneTakeoverAge {
		return false
	}
	var alive []string
	for _, m := range d.members.All() {
		if m.Status == prober.Alive && m.ID != f.Origin {
			alive = append(alive, m.ID)
		}
	}
	return ranker.First(f.Subject, alive) == d.settings.Name
}

func (d *Daemon) commitZoneChanges(ctx context.Context, zones []applier.Zone) {
	_, err := d.configLog.Commit(ctx, d.state.Load(), applier.Change{Zones: zones})
	switch {
	case err == nil:
		d.log.Info("data centre settings committed", "zones", len(zones))
	case errors.Is(err, committer.ErrRevisionTaken):
		d.log.Debug("another commit came first; will retry data centre settings")
	default:
		d.log.Warn("cannot commit data centre settings; will retry", "err", err)
	}
}
