// Package scheduler contains a state machine that decides when the samples of declared steps are generated, scored and
// delivered, and the driver that executes its commands.
package scheduler
