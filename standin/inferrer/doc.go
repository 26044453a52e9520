// Package inferrer implements the stand-in model engine with continuous batching, a prefix cache, weight versions and
// injected faults.
package inferrer
