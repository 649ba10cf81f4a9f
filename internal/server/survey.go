package server

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/internal/prober"
)

// Control methods of a survey.
const (
	headMethod   = "survey.head"
	surveyMethod = "survey.dc"
)

const (
	// maxSurveyCalls limits the concurrent control calls of a survey in one
	// data centre.
	maxSurveyCalls = 32
	// headTimeout limits the call to one daemon, so that unresponsive daemons
	// do not delay the survey.
	headTimeout = 300 * time.Millisecond
	// maxSurveyAttempts is the number of daemons of a data centre that are called
	// for its survey before all its daemons are counted as silent.
	maxSurveyAttempts = 3
	// maxLaggards limits the daemons that a survey lists for a data centre.
	maxLaggards = 20
)

// Empty is the request of a control method without parameters.
type Empty struct{}

// Head describes the active configuration of a daemon.
type Head struct {
	ID       string         `json:"id"`
	Revision uint64         `json:"revision"`
	Digest   applier.Digest `json:"digest"`
	Ready    bool           `json:"ready"`
}

// Survey summarises the active configurations of a data centre's daemons.
type Survey struct {
	DC string `json:"dc"`
	// Daemons is the number of alive and suspect daemons of the data centre.
	Daemons int `json:"daemons"`
	// Silent is the number of daemons that did not respond. It equals Daemons if
	// none of the data centre's daemons could be reached to survey it.
	Silent int `json:"silent"`
	// Revision is the highest active revision in the data centre, and Digest
	// the most common digest at that revision.
	Revision uint64         `json:"revision"`
	Digest   applier.Digest `json:"digest"`
	// Behind is the number of daemons that are at an older revision or not
	// ready. Diverged is the number of daemons at Revision with a different
	// digest.
	Behind   int `json:"behind"`
	Diverged int `json:"diverged"`
	// Laggards are the daemons that are behind or diverged, up to a limit.
	Laggards []Head `json:"laggards,omitempty"`
}

// Surveys are the surveys of all data centres.
type Surveys struct {
	DataCentres []Survey `json:"dcs"`
}

func (d *Daemon) handleHead(context.Context, Empty) (Head, error) {
	s := d.state.Load()
	return Head{
		ID:       d.settings.Name,
		Revision: s.Revision(),
		Digest:   s.Digest(),
		Ready:    d.loaded.Load(),
	}, nil
}

// surveyEndpoint surveys all data centres in parallel. Each is surveyed by one
// of its own daemons.
func (d *Daemon) surveyEndpoint(ctx context.Context, _ any) (any, error) {
	byDC := d.liveByDataCentre()
	var mu sync.Mutex
	var all Surveys
	var group errgroup.Group
	for dc, ids := range byDC {
		group.Go(func() error {
			s := d.surveyDataCentre(ctx, dc, ids)
			mu.Lock()
			defer mu.Unlock()
			all.DataCentres = append(all.DataCentres, s)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(all.DataCentres, func(a, b Survey) int { return cmp.Compare(a.DC, b.DC) })
	return all, nil
}

func (d *Daemon) liveByDataCentre() map[string][]string {
	byDC := map[string][]string{}
	for _, m := range d.members.All() {
		if m.Status <= prober.Suspect {
			byDC[m.DC] = append(byDC[m.DC], m.ID)
		}
	}
	return byDC
}

// surveyDataCentre requests the survey of a data centre from its daemons one by one,
// until one responds or maxSurveyAttempts have failed. The daemon surveys its own data
// centre itself.
func (d *Daemon) surveyDataCentre(ctx context.Context, dc string, ids []string) Survey {
	if dc == d.settings.DC {
		return d.surveyLocal(ctx, ids)
	}
	for _, id := range ids[:min(maxSurveyAttempts, len(ids))] {
		var s Survey
		if err := d.callPeer(ctx, id, surveyMethod, Empty{}, &s); err == nil {
			return s
		}
	}
	return Survey{
		DC:      dc,
		Daemons: len(ids),
		Silent:  len(ids),
	}
}

func (d *Daemon) handleSurvey(ctx context.Context, _ Empty) (Survey, error) {
	return d.surveyLocal(ctx, d.liveByDataCentre()[d.settings.DC]), nil
}

// surveyLocal surveys the daemons of this daemon's data centre.
func (d *Daemon) surveyLocal(ctx context.Context, ids []string) Survey {
	var mu sync.Mutex
	var heads []Head
	var group errgroup.Group
	group.SetLimit(maxSurveyCalls)
	for _, id := range ids {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, headTimeout)
			defer cancel()
			var h Head
			if err := d.callPeer(ctx, id, headMethod, Empty{}, &h); err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			heads = append(heads, h)
			return nil
		})
	}
	_ = group.Wait()
	return summarize(d.settings.DC, len(ids), heads)
}

// summarize builds a survey from the active configurations of a data centre's daemons.
func summarize(dc string, daemons int, heads []Head) Survey {
	slices.SortFunc(heads, func(a, b Head) int { return cmp.Compare(a.ID, b.ID) })
	s := Survey{
		DC:      dc,
		Daemons: daemons,
		Silent:  daemons - len(heads),
	}
	for _, h := range heads {
		if h.Ready && h.Revision >= s.Revision {
			s.Revision = h.Revision
		}
	}
	s.Digest = commonDigest(heads, s.Revision)
	for _, h := range heads {
		switch {
		case !h.Ready || h.Revision < s.Revision:
			s.Behind++
		case h.Digest != s.Digest:
			s.Diverged++
		default:
			continue
		}
		if len(s.Laggards) < maxLaggards {
			s.Laggards = append(s.Laggards, h)
		}
	}
	return s
}

// commonDigest returns the most common digest of ready daemons at a revision.
func commonDigest(heads []Head, revision uint64) applier.Digest {
	counts := map[applier.Digest]int{}
	var common applier.Digest
	for _, h := range heads {
		if !h.Ready || h.Revision != revision {
			continue
		}
		counts[h.Digest]++
		if counts[h.Digest] > counts[common] {
			common = h.Digest
		}
	}
	return common
}
