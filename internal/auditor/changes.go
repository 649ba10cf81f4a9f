package auditor

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

// Change is a difference between two plans.
type Change struct {
	// Entry names what differs, for example a rule by its host and prefix.
	Entry string `json:"entry"`
	// Field is the part of the entry that differs, or empty if the entry was added or
	// removed.
	Field string `json:"field,omitempty"`
	// Old and New are the values, empty if there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// Compare returns what differs in the plan next from the plan old, by entry. Secrets are
// counted and shown as a digest.
func Compare(old, next Plan) []Change {
	var changes []Change
	before, after := old.entries(), next.entries()
	for entry, fields := range after {
		was, ok := before[entry]
		if !ok {
			changes = append(changes, Change{
				Entry: entry,
				New:   fields.text(),
			})
			continue
		}
		changes = append(changes, was.compare(entry, fields)...)
	}
	for entry, fields := range before {
		if _, ok := after[entry]; !ok {
			changes = append(changes, Change{
				Entry: entry,
				Old:   fields.text(),
			})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field))
	})
	return changes
}

// field is a named value of an entry.
type field struct{ name, value string }

// fields are the fields of an entry. Two entries of a kind have the same names, in the same
// order.
type fields []field

func (f fields) text() string {
	var parts []string
	for _, x := range f {
		parts = append(parts, x.name+" "+x.value)
	}
	return strings.Join(parts, ", ")
}

// compare returns the changes from f to next, the fields of the same entry.
func (f fields) compare(entry string, next fields) []Change {
	var changes []Change
	for i, x := range f {
		if next[i].value == x.value {
			continue
		}
		changes = append(changes, Change{
			Entry: entry,
			Field: x.name,
			Old:   x.value,
			New:   next[i].value,
		})
	}
	return changes
}

// entries returns the fields of a plan's entries by the entries' names. Of two entries of one
// name, the first counts.
func (p Plan) entries() map[string]fields {
	entries := map[string]fields{}
	add := func(name string, f ...field) {
		if _, ok := entries[name]; !ok {
			entries[name] = f
		}
	}
	add("limits",
		field{"header", fmt.Sprint(p.Limits.HeaderBytes)},
		field{"body", fmt.Sprint(p.Limits.BodyBytes)},
		field{"headertime", p.Limits.HeaderTimeout.String()},
		field{"idletime", p.Limits.IdleTimeout.String()},
	)
	for _, r := range p.Rules {
		add("rule "+strings.ToLower(r.Host)+r.Prefix,
			field{"name", r.Name},
			field{"kind", kindName(r.Kind)},
			field{"services", splitText(r.Splits)},
			field{"timeout", r.Timeout.String()},
			field{"objective", r.Objective.Round(time.Microsecond).String()},
			field{"attempts", fmt.Sprint(r.MaxAttempts)},
			field{"priority", fmt.Sprint(r.Priority)},
		)
	}
	for _, s := range p.Services {
		add("service "+s.Name, field{"coldrate", fmt.Sprint(s.ColdRate)}, field{"connections", fmt.Sprint(s.Connections)})
	}
	for _, c := range p.Customers {
		add("customer "+c.Name, field{"keys", secretsText(c.Secrets)})
	}
	return entries
}

// secretsText returns the number of secrets and a digest of them all, by which a replaced one
// is noticed.
func secretsText(secrets []string) string {
	sorted := slices.Sorted(slices.Values(secrets))
	digest := sha256.Sum256([]byte(strings.Join(sorted, "\x00")))
	return fmt.Sprintf("%d (digest %x)", len(secrets), digest[:4])
}

func kindName(k matcher.Kind) string {
	if k == matcher.Idempotent {
		return "idempotent"
	}
	return "nonidempotent"
}

func splitText(splits []matcher.WeightedService) string {
	var parts []string
	for _, s := range splits {
		parts = append(parts, fmt.Sprintf("%s:%v", s.Service, s.Weight))
	}
	return strings.Join(parts, " ")
}
