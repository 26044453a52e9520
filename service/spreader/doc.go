// Package spreader keeps a copy of one kind of the store's objects on every host while only one host of each availability
// zone watches the store.
//
// Spreader is the state machine; Driver follows the store or receives the state from the zone's watcher.
package spreader
