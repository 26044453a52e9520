// Package permitter grants single-use permits for non-idempotent requests.
//
// Three rules ensure that a permit is used at most once and that a refusal as not run is true.
//
// First, all records of a shard form one sequence: an owner appends them to the last segment of the shard's chain by
// conditional update, never to a full segment, and never to a segment that was deleted and recreated under the same key.
// Two owners of one shard therefore cannot both append without one of them reading the other's records first.
//
// Second, the requesting host chooses the id of the permit, one for each Acquire call. A repeated permit request carries
// the same id, so any owner can recognise it and grant the same permit again: only that Acquire call can use the permit,
// and the call returns at most once.
//
// Third, an Acquire call that ends without a granted permit never uses the id again. Its refusal as not run is
// therefore true even if an owner recorded the permit. The requesting host, and no one else, then withdraws the
// permit with a completion marked not_run, which frees the key. If the withdrawal is lost, the key stays blocked:
// repeats get idempotency_key_in_progress and later outcome_unknown, but nothing runs twice.
package permitter
