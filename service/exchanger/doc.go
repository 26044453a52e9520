// Package exchanger sends HTTP requests to upstreams. For a request that fails, it knows whether any byte may have been
// sent.
package exchanger
