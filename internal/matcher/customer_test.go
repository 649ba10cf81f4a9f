package matcher_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/coltsfootlane/coltsfootlane/internal/matcher"
)

func ExampleKeySet_Holder() {
	keys, err := matcher.NewKeySet([]matcher.Customer{
		{Name: "north", Keys: []string{"key-a", "key-b"}, Priority: 0, HasPriority: true},
		{Name: "south", Keys: []string{"key-c"}},
	})
	if err != nil {
		panic(err)
	}
	rule := &matcher.Rule{Priority: 2}
	other := &matcher.Rule{Priority: 3}
	for _, key := range []string{"key-b", "key-c", "key-", ""} {
		holder, ok := keys.Holder(key)
		fmt.Printf("%q: %q, priorities %d and %d, %v\n", key, holder.Customer, holder.Priority(rule), holder.Priority(other), ok)
	}
	// Output:
	// "key-b": "north", priorities 2 and 3, true
	// "key-c": "south", priorities 2002 and 3003, true
	// "key-": "", priorities 2002 and 3003, false
	// "": "", priorities 2002 and 3003, false
}

func TestKeySetRejects(t *testing.T) {
	const secret = "the-secret-key"
	for name, test := range map[string]struct {
		customers []matcher.Customer
		want      string
	}{
		"no name":           {customers: []matcher.Customer{{Name: "a"}, {Keys: []string{secret}}}, want: "customer 2 has no name"},
		"same name":         {customers: []matcher.Customer{{Name: "a"}, {Name: "a"}}, want: `customer "a" is declared twice`},
		"empty key":         {customers: []matcher.Customer{{Name: "a", Keys: []string{secret, ""}}}, want: `customer "a": key 2 is empty`},
		"key of another":    {customers: []matcher.Customer{{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{secret}}}, want: `customer "b": key 1 is also held by "a"`},
		"key held twice":    {customers: []matcher.Customer{{Name: "a", Keys: []string{secret, secret}}}, want: `customer "a": key 2 is also held by "a"`},
		"negative priority": {customers: []matcher.Customer{{Name: "a", Priority: -1, HasPriority: true}}, want: "priority -1 is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			keys, err := matcher.NewKeySet(test.customers)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got error %v, want one that contains %q", err, test.want)
			}
			if keys != nil || strings.Contains(err.Error(), secret) {
				t.Errorf("got keys %v and error %q, want no keys and no key in the error", keys, err)
			}
		})
	}
}
