// Package authorizer decides which customer a request belongs to, and whether it may run. Its load is one decision for each request
// of the deployment, among about a hundred customers with a few keys each; a decision costs one keyed hash and one lookup in a map,
// however many customers there are, and its memory is bounded by the keys of the configuration (about 100 bytes each). Callers get
// a final refusal only for what no newer configuration could change: a missing or malformed key at any time, an unknown key only
// while the configuration was confirmed as current a moment ago.
package authorizer
