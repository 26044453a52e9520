// Package updater distributes announced weight versions to all hosts and orders the engines to load and serve them.
//
// Engines are divided into shards by the hash of their id. The holder of a shard's lease sends the orders to its engines.
// An order names a version instead of a change, and never one below the version that the engine is known to serve,
// except to unload it. A late order of a former holder is refused by engines that check its fencing token or its
// expiry; an engine that checks neither may revert until the current holder orders the newer version again.
package updater
