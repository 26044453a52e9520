// Package dispatcher runs requests on upstreams: it admits a request, routes its attempts, retries failed ones and
// checks that each response is complete and belongs to its attempt.
package dispatcher
