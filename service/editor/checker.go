package editor

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// namePattern matches the accepted names of entries, pools and models. Entry names are part of URL paths and of store keys,
// so separators are excluded.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "1 to 63 letters, digits, dots, underscores or hyphens, starting with a letter or a digit"

var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Problem is one invalid field of an edit or its catalogue.
type Problem struct {
	// Subject is the entry or pool, such as `entry "plans"`; else it is "edit" or "catalogue".
	Subject string
	Field   string
	Value   string
	// Accepted describes the values that the field accepts.
	Accepted string
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: field %s: value %q is invalid: want %s", p.Subject, p.Field, p.Value, p.Accepted)
}

// Format joins problems, one on each line.
func Format(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// checker collects the problems of one catalogue.
type checker struct {
	problems []Problem
	// entries and pools hold the kinds of the names read so far, to find duplicates and to check references.
	entries map[identifier.EntryName]codec.EntryKind
	pools   map[identifier.PoolName]codec.PoolKind
}

// Check returns all problems of a catalogue: first those of the pools, then those of the names of the entries, then those of
// their other fields.
func Check(entries []codec.Entry, pools []codec.Pool) []Problem {
	c := &checker{
		entries: make(map[identifier.EntryName]codec.EntryKind, len(entries)),
		pools:   make(map[identifier.PoolName]codec.PoolKind, len(pools)),
	}
	for _, pool := range pools {
		c.checkPool(pool)
	}
	for _, entry := range entries {
		c.checkName(subject(entry), entry)
	}
	for _, entry := range entries {
		c.checkEntry(subject(entry), entry)
	}
	return c.problems
}

// editableKinds are the kinds of entries that an edit may contain. Entries for routes and batches come only from platforms
// that keep the configuration themselves.
var editableKinds = []codec.EntryKind{codec.EntryKindService, codec.EntryKindModel, codec.EntryKindTrainer}

func subject(entry codec.Entry) string { return fmt.Sprintf("entry %q", entry.Name) }

func (c *checker) add(subject, field, value, accepted string) {
	c.problems = append(c.problems, Problem{Subject: subject, Field: field, Value: value, Accepted: accepted})
}

func (c *checker) checkPool(pool codec.Pool) {
	subject := fmt.Sprintf("pool %q", pool.Name)
	if !namePattern.MatchString(string(pool.Name)) {
		c.add(subject, "name", string(pool.Name), nameRule)
	}
	if _, ok := c.pools[pool.Name]; ok {
		c.add(subject, "name", string(pool.Name), "a name that no other pool has")
	}
	if !pool.Kind.Valid() {
		c.add(subject, "kind", string(pool.Kind), "engine or plain")
	}
	if pool.ChecksFencing && pool.Kind == codec.PoolKindPlain {
		c.add(subject, "checks_fencing", "true", "false for a plain pool, which takes no orders")
	}
	c.pools[pool.Name] = pool.Kind
}

func (c *checker) checkName(subject string, entry codec.Entry) {
	if !namePattern.MatchString(string(entry.Name)) {
		c.add(subject, "name", string(entry.Name), nameRule)
	}
	if _, ok := c.entries[entry.Name]; ok {
		c.add(subject, "name", string(entry.Name), "a name that no other entry has")
	}
	c.entries[entry.Name] = entry.Kind
}

func (c *checker) checkEntry(subject string, entry codec.Entry) {
	if !slices.Contains(editableKinds, entry.Kind) {
		c.add(subject, "kind", string(entry.Kind), "service, model or trainer")
	}
	if !entry.Class.Valid() {
		c.add(subject, "class", string(entry.Class), "live or training")
	}
	if strings.TrimSpace(entry.Owner) == "" {
		c.add(subject, "owner", entry.Owner, "the name of a team or person")
	}
	c.checkLimits(subject, entry.Limits)
	c.checkSpecs(subject, entry)
}

func (c *checker) checkLimits(subject string, limits codec.Limits) {
	const accepted = "a number that is not negative; 0 means no limit"
	// Negating the comparison also rejects NaN.
	if !(limits.RequestsPerSecond >= 0) {
		c.add(subject, "limits.requests_per_second", formatFloat(limits.RequestsPerSecond), accepted)
	}
	integers := []struct {
		field string
		value int64
	}{
		{"limits.burst", int64(limits.Burst)},
		{"limits.in_flight", int64(limits.InFlight)},
		{"limits.queue", int64(limits.Queue)},
		{"limits.body_bytes", int64(limits.BodyBytes)},
	}
	for _, limit := range integers {
		if limit.value < 0 {
			c.add(subject, limit.field, strconv.FormatInt(limit.value, 10), accepted)
		}
	}
	if limits.Deadline < 0 {
		c.add(subject, "limits.deadline", limits.Deadline.Std().String(), "a duration that is not negative, such as 30s")
	}
}

func (c *checker) checkSpecs(subject string, entry codec.Entry) {
	specs := []struct {
		kind    codec.EntryKind
		present bool
	}{
		{codec.EntryKindService, entry.Service != nil},
		{codec.EntryKindModel, entry.Model != nil},
		{codec.EntryKindTrainer, entry.Trainer != nil},
	}
	for _, spec := range specs {
		switch {
		case spec.present && spec.kind != entry.Kind:
			c.add(subject, string(spec.kind), "present", fmt.Sprintf("absent for the kind %s", entry.Kind))
		case !spec.present && spec.kind == entry.Kind:
			c.add(subject, string(spec.kind), "absent", fmt.Sprintf("present for the kind %s", entry.Kind))
		}
	}
	if entry.Service != nil {
		c.checkService(subject, entry.Service)
	}
	if entry.Model != nil {
		c.checkModel(subject, entry.Model)
	}
	if entry.Trainer != nil {
		c.checkTrainer(subject, entry.Trainer)
	}
}

func (c *checker) checkService(subject string, spec *codec.ServiceSpec) {
	c.checkPoolReference(subject, "service.pool", spec.Pool, codec.PoolKindPlain)
	for _, method := range spec.IdempotentMethods {
		if !contains(httpMethods, method) {
			c.add(subject, "service.idempotent_methods", method, strings.Join(httpMethods, ", "))
		}
	}
}

func (c *checker) checkModel(subject string, spec *codec.ModelSpec) {
	c.checkPoolReference(subject, "model.pool", spec.Pool, codec.PoolKindEngine)
	if !namePattern.MatchString(string(spec.Model)) {
		c.add(subject, "model.model", string(spec.Model), nameRule)
	}
}

func (c *checker) checkTrainer(subject string, spec *codec.TrainerSpec) {
	c.checkEntryReference(subject, "trainer.model_entry", spec.ModelEntry, codec.EntryKindModel)
	if spec.ScorerEntry != "" {
		c.checkEntryReference(subject, "trainer.scorer_entry", spec.ScorerEntry, codec.EntryKindService)
	}
	if spec.StalenessBound < 0 {
		c.add(subject, "trainer.staleness_bound", strconv.FormatInt(spec.StalenessBound, 10), "a number of versions, 0 or more")
	}
	// Negating the comparison also rejects NaN.
	if !(spec.IdleWeight >= 0 && spec.IdleWeight <= 1) {
		c.add(subject, "trainer.idle_weight", formatFloat(spec.IdleWeight), "a number from 0 to 1")
	}
	if spec.MaxTokens < 0 {
		c.add(subject, "trainer.max_tokens", strconv.FormatInt(int64(spec.MaxTokens), 10), "a number of tokens, 0 or more")
	}
}

func (c *checker) checkPoolReference(subject, field string, name identifier.PoolName, want codec.PoolKind) {
	kind, ok := c.pools[name]
	if !ok || kind != want {
		c.add(subject, field, string(name), fmt.Sprintf("the name of a pool of kind %s in this catalogue", want))
	}
}

func (c *checker) checkEntryReference(subject, field string, name identifier.EntryName, want codec.EntryKind) {
	kind, ok := c.entries[name]
	if !ok || kind != want {
		c.add(subject, field, string(name), fmt.Sprintf("the name of an entry of kind %s in this catalogue", want))
	}
}

func contains(accepted []string, value string) bool {
	for _, candidate := range accepted {
		if candidate == value {
			return true
		}
	}
	return false
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }
