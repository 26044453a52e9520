// Package measurer compares rollout policies by driving the real state machines with an event queue in virtual time.
package measurer
