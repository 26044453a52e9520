// Package requester calls the operator API of a celerygap host.
package requester
