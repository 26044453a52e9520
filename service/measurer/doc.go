// Package measurer compares rollout policies. It drives the state machines of the service in virtual time, with an
// event queue and simulated engines and trainers.
package measurer
