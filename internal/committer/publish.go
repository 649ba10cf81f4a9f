package committer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/applier"
	"github.com/coltsfootlane/coltsfootlane/pkg/parser"
)

// Backoff of a writer after another writer has committed the same revision.
const (
	minRaceBackoff = 20 * time.Millisecond
	maxRaceBackoff = 2 * time.Second
)

// Publication is a set of declared services to commit.
type Publication struct {
	Services []parser.Service
	// Prune removes all services that are not in Services.
	Prune bool
	// Base is the revision that the declarations are based on; 0 means the head
	// of the log when the publication starts.
	Base uint64
}

// ConflictError means that other operators have changed services that the
// publication also changes. Nothing was committed.
type ConflictError struct {
	Services []string
}

// Error lists the services.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("changed by another operator meanwhile: %s", strings.Join(e.Services, ", "))
}

// PublishResult is the result of a publication.
type PublishResult struct {
	applier.Entry
	// Unchanged means that the log already contains the publication, and nothing was
	// committed. The entry then contains only the current revision and digest.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Publish commits the changes of the publication as one entry, or nothing if
// there are none. If another writer commits first, Publish retries against the
// new state until ctx ends; it returns a ConflictError if the other writer has
// changed one of the same services. Every error carries a verdict.
func (l *Log) Publish(ctx context.Context, p Publication) (PublishResult, error) {
	if p.Prune && len(p.Services) == 0 {
		return PublishResult{}, notRun("publication rejected", Class.New("pruning with no service declared would remove all services"))
	}
	base, err := l.Load(ctx, &applier.State{})
	if err != nil {
		return PublishResult{}, notRun("cannot read the log", err)
	}
	change := p.diff(base)
	if err := l.checkBase(ctx, p.Base, base, change); err != nil {
		return PublishResult{}, notRun("publication rejected", err)
	}
	head := base
	for backoff := minRaceBackoff; ; backoff = min(2*backoff, maxRaceBackoff) {
		if change, err = l.rebaseAndCheck(change, base, head); err != nil {
			return PublishResult{}, notRun("publication rejected", err)
		}
		if change.Empty() {
			return unchangedResult(head), nil
		}
		e, commitErr := l.Commit(ctx, head, change)
		if !errors.Is(commitErr, ErrRevisionTaken) {
			return PublishResult{Entry: e}, commitErr
		}
		if l.sleep(ctx, backoff) != nil {
			return PublishResult{}, commitErr
		}
		if head, err = l.Load(ctx, head); err != nil {
			return PublishResult{}, notRun("cannot read the log", err)
		}
	}
}

// unchangedResult returns the result of a publication that changes nothing.
func unchangedResult(s *applier.State) PublishResult {
	return PublishResult{
		Entry: applier.Entry{
			Revision: s.Revision(),
			Base:     s.Digest(),
			Result:   s.Digest(),
		},
		Unchanged: true,
	}
}

// rebaseAndCheck rebases a change onto a later state and checks the deadlines of
// its moves.
func (l *Log) rebaseAndCheck(c applier.Change, base, head *applier.State) (applier.Change, error) {
	remaining, err := rebase(c, base, head)
	if err != nil {
		return applier.Change{}, err
	}
	return remaining, checkDeadlines(head, remaining, l.Clock.Now())
}

// diff returns the change that turns base into the publication.
func (p Publication) diff(base *applier.State) applier.Change {
	var c applier.Change
	wanted := map[string]bool{}
	for _, svc := range p.Services {
		wanted[svc.Name] = true
		if old, ok := base.Service(svc.Name); !ok || !equalServices(old, svc) {
			c.Services = append(c.Services, svc)
		}
	}
	if !p.Prune {
		return c
	}
	for _, svc := range base.Services() {
		if !wanted[svc.Name] {
			c.Removed = append(c.Removed, svc.Name)
		}
	}
	return c
}

// rebase returns the part of a change that still has an effect on head. The change
// was computed against base, an earlier state. The error is a ConflictError if a
// service of that part also differs between base and head.
func rebase(c applier.Change, base, head *applier.State) (applier.Change, error) {
	var remaining applier.Change
	var conflicts []string
	for _, svc := range c.Services {
		current, ok := head.Service(svc.Name)
		switch {
		case ok && equalServices(current, svc):
		case differs(svc.Name, base, head):
			conflicts = append(conflicts, svc.Name)
		default:
			remaining.Services = append(remaining.Services, svc)
		}
	}
	for _, name := range c.Removed {
		_, ok := head.Service(name)
		switch {
		case !ok:
		case differs(name, base, head):
			conflicts = append(conflicts, name)
		default:
			remaining.Removed = append(remaining.Removed, name)
		}
	}
	if len(conflicts) > 0 {
		return applier.Change{}, &ConflictError{Services: conflicts}
	}
	return remaining, nil
}

// differs reports whether a service differs between two states.
func differs(name string, base, head *applier.State) bool {
	old, existed := base.Service(name)
	current, exists := head.Service(name)
	return existed != exists || !equalServices(old, current)
}

// equalServices reports whether two services are equal. Deadlines are equal if
// they are the same instant, whatever their time zone.
func equalServices(a, b parser.Service) bool { return bytes.Equal(canonicalJSON(a), canonicalJSON(b)) }

// canonicalJSON returns the JSON of a service with its deadline in UTC.
func canonicalJSON(s parser.Service) []byte {
	if s.Move != nil {
		s = s.WithMove(s.Move)
		s.Move.By = s.Move.By.UTC()
	}
	data, err := json.Marshal(s)
	if err != nil {
		// Commit rejects a service that cannot be encoded.
		return nil
	}
	return data
}

// checkBase returns a ConflictError if entries after the revision have changed
// services that the change contains too.
func (l *Log) checkBase(ctx context.Context, revision uint64, head *applier.State, c applier.Change) error {
	if revision == 0 {
		return nil
	}
	if revision > head.Revision() {
		return Class.New("base %d is ahead of the log, which is at %d", revision, head.Revision())
	}
	changed := map[string]bool{}
	for r := revision + 1; r <= head.Revision(); r++ {
		e, ok, err := l.Read(ctx, r)
		if err != nil {
			return err
		}
		if !ok {
			return Class.New("entry %d is missing", r)
		}
		for _, name := range serviceNames(e.Change) {
			changed[name] = true
		}
	}
	conflicts := slices.DeleteFunc(serviceNames(c), func(name string) bool { return !changed[name] })
	if len(conflicts) > 0 {
		return &ConflictError{Services: conflicts}
	}
	return nil
}

// serviceNames returns the names of the services that a change declares or
// removes.
func serviceNames(c applier.Change) []string {
	var list []string
	for _, svc := range c.Services {
		list = append(list, svc.Name)
	}
	return append(list, c.Removed...)
}

// checkDeadlines returns an error if the change starts a move whose deadline has
// passed. A move that is already part of the state is accepted.
func checkDeadlines(s *applier.State, c applier.Change, now time.Time) error {
	for _, svc := range c.Services {
		if svc.Move == nil || svc.Move.By.After(now) {
			continue
		}
		old, ok := s.Service(svc.Name)
		if ok && old.Move != nil && old.Move.To == svc.Move.To && old.Move.By.Equal(svc.Move.By) {
			continue
		}
		return &applier.ValidationError{
			Service: svc.Name,
			Reason:  fmt.Sprintf("service %s: move by %s, which is over", svc.Name, svc.Move.By.Format(time.RFC3339)),
		}
	}
	return nil
}
