package authenticator_test

import (
	"testing"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/authenticator"
	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

func newPlan(t *testing.T, version uint64, customers ...matcher.Customer) *matcher.Plan {
	t.Helper()
	keys, err := matcher.NewKeySet(customers)
	if err != nil {
		t.Fatal(err)
	}
	return matcher.New(version, matcher.Limits{}, nil, nil).WithKeys(keys)
}

func TestAuthenticate(t *testing.T) {
	plan := newPlan(t, 4, matcher.Customer{
		Name:        "north",
		Keys:        []string{"key-a"},
		Priority:    1,
		HasPriority: true,
	})
	open := matcher.New(4, matcher.Limits{}, nil, nil)
	for name, test := range map[string]struct {
		plan     *matcher.Plan
		public   bool
		key      string
		left     time.Duration
		customer string
		priority int
		err      error
	}{
		"known key":                   {plan: plan, key: "key-a", left: time.Second, customer: "north", priority: 1002},
		"unknown key":                 {plan: plan, key: "key-b", left: time.Second, err: authenticator.ErrUnknownKey},
		"no key":                      {plan: plan, left: time.Second, err: authenticator.ErrNoKey},
		"public, no key":              {plan: plan, public: true, left: time.Second, priority: 2002},
		"public, unknown key":         {plan: plan, public: true, key: "key-b", left: time.Second, priority: 2002},
		"public, known key":           {plan: plan, public: true, key: "key-a", left: time.Second, customer: "north", priority: 1002},
		"not proven, known key":       {plan: plan, key: "key-a", err: authenticator.ErrUnproven},
		"not proven, unknown key":     {plan: plan, key: "key-b", err: authenticator.ErrUnproven},
		"not proven, no key":          {plan: plan, err: authenticator.ErrUnproven},
		"not proven, public":          {plan: plan, public: true, key: "key-a", priority: 2002},
		"plan without customers":      {plan: open, key: "key-a", priority: 2},
		"plan without customers, old": {plan: open, priority: 2},
	} {
		t.Run(name, func(t *testing.T) {
			a := authenticator.Authenticator{Left: func() time.Duration { return test.left }}
			id, priority, err := authenticator.Authenticate(a.Proof(), test.plan, &matcher.Rule{Priority: 2, Public: test.public}, test.key)
			if err != test.err || id.Customer != test.customer || priority != test.priority {
				t.Errorf("got %+v, priority %d, error %v; want customer %q, priority %d, error %v", id, priority, err, test.customer, test.priority, test.err)
			}
			if id.Customer != "" && (id.Plan != 4 || id.Valid != test.left || id.KeyID == "" || id.KeyID == test.key) {
				t.Errorf("got identity %+v", id)
			}
		})
	}
}

// TestRecheck checks the requests that waited for a target.
func TestRecheck(t *testing.T) {
	north := matcher.Customer{Name: "north", Keys: []string{"key-a"}}
	plan := newPlan(t, 4, north)
	holder, _ := plan.Keys.Holder("key-a")
	id := authenticator.Identity{Customer: "north", KeyID: holder.KeyID, Plan: 4, Valid: 2 * time.Second}
	for name, test := range map[string]struct {
		id       authenticator.Identity
		plan     *matcher.Plan
		accepted time.Duration
		err      error
	}{
		"same plan":             {id: id, plan: plan},
		"later plan":            {id: id, plan: newPlan(t, 5, north)},
		"key removed":           {id: id, plan: newPlan(t, 5), err: authenticator.ErrRemoved},
		"earlier plan, no key":  {id: id, plan: newPlan(t, 3)},
		"no plan":               {id: id},
		"waited for too long":   {id: id, plan: plan, accepted: 2 * time.Second, err: authenticator.ErrUnproven},
		"no customer":           {plan: newPlan(t, 5), accepted: time.Hour},
		"age without a meaning": {id: authenticator.Identity{Customer: "north", KeyID: holder.KeyID, Plan: 4}, plan: plan, accepted: time.Hour},
	} {
		if err := test.id.Recheck(test.plan, test.accepted); err != test.err {
			t.Errorf("%s: got %v, want %v", name, err, test.err)
		}
	}
}
