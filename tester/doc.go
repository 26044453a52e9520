// Package tester runs the service, its upstreams and a stand-in for the platform as separate processes and tests them
// together. P1 to P9 in its comments are the promises of docs/design.md section 1.1.
package tester
