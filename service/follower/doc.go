// Package follower keeps a copy of all objects of one kind in the store across outages, interrupted watches and compacted
// history.
package follower
