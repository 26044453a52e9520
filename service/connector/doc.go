// Package connector declares the interfaces through which the parts reach the store, peers, catalogue and upstreams.
package connector
