package server

import (
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/spreader"
)

// addFacts stores facts, and sends the new ones to the other daemons.
func (d *Daemon) addFacts(facts ...spreader.Fact) {
	for _, f := range facts {
		if d.facts.Add(f) {
			d.prober.BroadcastFact(f)
			d.onNewFact(f)
		}
	}
}

// onNewFact schedules a rebuild of the view, so that a new fact takes effect.
func (d *Daemon) onNewFact(f spreader.Fact) {
	d.log.Info("new fact", "kind", f.Kind, "subject", f.Subject, "origin", f.Origin, "detail", f.Detail)
	if !d.rebuildPending.Swap(true) {
		go d.runRebuild()
	}
}

// runRebuild rebuilds the view. Facts that arrive after it has started cause
// one further rebuild.
func (d *Daemon) runRebuild() {
	d.rebuildPending.Store(false)
	d.rebuild()
}

// publishFact creates a fact with this daemon as its origin, valid for ttl, and
// sends it to other daemons.
func (d *Daemon) publishFact(kind spreader.Kind, subject, detail string, ttl time.Duration) {
	at := d.facts.NextTime(kind, subject)
	d.addFacts(spreader.Fact{
		Kind:    kind,
		Subject: subject,
		Detail:  detail,
		Origin:  d.settings.Name,
		At:      at,
		Until:   at.Add(ttl),
	})
}
