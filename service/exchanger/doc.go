// Package exchanger sends HTTP requests to upstreams. For a request that fails, it reports whether any byte may have been
// sent.
package exchanger
