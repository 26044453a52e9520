package authorizer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/authorizer"
)

var long = strings.Repeat("k", authorizer.MaxKeyBytes+1)

func customers() *codec.Catalogue {
	first := 0
	return &codec.Catalogue{Revision: 7, KeysRequired: true, Customers: []codec.Customer{
		{Name: "a", Keys: []identifier.APIKey{"a1", "a2", identifier.APIKey(long[1:])}, Priority: &first},
		{Name: "b", Keys: []identifier.APIKey{"b,1", identifier.APIKey(long)}},
		{Name: "keyless"},
	}}
}

// Guards against requests that run under the wrong customer or under none, and against final refusals that a newer configuration
// would not confirm.
func TestCheck(t *testing.T) {
	const fresh, old = time.Second, 3 * time.Second
	for _, c := range []struct {
		keys   []string
		public bool
		age    time.Duration
		strict bool
		want   authorizer.Outcome
		name   identifier.CustomerName
	}{
		{keys: []string{"a1"}, want: authorizer.Identified, name: "a"},
		{keys: []string{"a2"}, public: true, want: authorizer.Identified, name: "a"},
		{keys: []string{long[1:]}, want: authorizer.Identified, name: "a"},
		{keys: []string{"b,1"}, want: authorizer.Identified, name: "b"},
		{keys: []string{"a1"}, age: time.Hour, want: authorizer.Identified, name: "a"},
		{want: authorizer.Missing},
		{keys: []string{""}, want: authorizer.Missing},
		{age: time.Hour, strict: true, want: authorizer.Missing},
		{public: true, want: authorizer.Anonymous},
		{keys: []string{"a1", "a1"}, age: time.Hour, want: authorizer.Malformed},
		{keys: []string{"a1,a2"}, age: time.Hour, want: authorizer.Malformed},
		{keys: []string{"a1", "a2"}, public: true, want: authorizer.Anonymous},
		{keys: []string{"A1"}, age: fresh, want: authorizer.Unknown},
		{keys: []string{"A1"}, age: old, want: authorizer.Unsure},
		{keys: []string{"A1"}, age: old, public: true, want: authorizer.Anonymous},
		{keys: []string{long}, age: old, want: authorizer.Unknown},
		{keys: []string{"a1"}, age: 5 * time.Second, strict: true, want: authorizer.Identified, name: "a"},
		{keys: []string{"a1"}, age: 6 * time.Second, strict: true, want: authorizer.Unconfirmed},
		{keys: []string{"a1"}, age: 6 * time.Second, strict: true, public: true, want: authorizer.Unconfirmed},
		{age: 6 * time.Second, strict: true, public: true, want: authorizer.Anonymous},
	} {
		a := authorizer.New(customers(), authorizer.Config{Strict: c.strict, RevokeWithin: 5 * time.Second})
		decision := a.Check(authorizer.Request{Public: c.public, Keys: c.keys, ConfirmedAgo: c.age})
		require.Equal(t, c.want, decision.Outcome, "%+v", c)
		require.Equal(t, c.name, decision.Customer, "%+v", c)
		require.Equal(t, c.name == "a", decision.Priority != nil, "%+v", c)
	}
}

// Guards against keys that are demanded where the configuration has no customers, and against an empty list of customers that
// leaves all routes open.
func TestKeysAreRequiredByTheConfiguration(t *testing.T) {
	require.Equal(t, authorizer.Open, authorizer.New(&codec.Catalogue{}, authorizer.Config{}).Check(authorizer.Request{}).Outcome)
	closed := authorizer.New(&codec.Catalogue{KeysRequired: true}, authorizer.Config{})
	require.Equal(t, authorizer.Unknown, closed.Check(authorizer.Request{Keys: []string{"k"}}).Outcome)
}

// Plays the load of a deployment: 88 customers whose keys are replaced while requests with old, new and foreign keys arrive. Guards
// against requests that run under a removed key or under another customer than that of their key, in any configuration.
func TestRotationUnderLoad(t *testing.T) {
	const count, rounds = 88, 20
	key := func(customer, round int) identifier.APIKey {
		return identifier.APIKey(fmt.Sprintf("key-%d-%d", customer, round))
	}
	for round := range rounds {
		catalogue := &codec.Catalogue{KeysRequired: true}
		for i := range count {
			catalogue.Customers = append(catalogue.Customers, codec.Customer{
				Name: identifier.CustomerName(fmt.Sprint(i)), Keys: []identifier.APIKey{key(i, round), key(i, round+1)},
			})
		}
		a := authorizer.New(catalogue, authorizer.Config{Secret: authorizer.Secret{byte(round)}})
		for i := range count {
			for presented := range rounds {
				decision := a.Check(authorizer.Request{Keys: []string{string(key(i, presented))}})
				if presented == round || presented == round+1 {
					require.Equal(t, identifier.CustomerName(fmt.Sprint(i)), decision.Customer)
					continue
				}
				require.Equal(t, authorizer.Decision{Outcome: authorizer.Unknown}, decision)
			}
		}
	}
}

// Measures a decision; it must not depend on the number of customers.
func BenchmarkCheck(b *testing.B) {
	for _, count := range []int{8, 88, 8800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			catalogue := &codec.Catalogue{KeysRequired: true}
			for i := range count {
				catalogue.Customers = append(catalogue.Customers, codec.Customer{
					Name: identifier.CustomerName(fmt.Sprint(i)), Keys: []identifier.APIKey{identifier.APIKey(fmt.Sprint("key", i))},
				})
			}
			a := authorizer.New(catalogue, authorizer.Config{})
			request := authorizer.Request{Keys: []string{"key7"}}
			for b.Loop() {
				a.Check(request)
			}
		})
	}
}
