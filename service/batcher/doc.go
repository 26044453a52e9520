// Package batcher runs batch jobs: it schedules their items on engines and maintains the lists of results.
//
// Batcher is the state machine; Driver feeds it events, executes its commands and forwards calls to the host that owns a
// job.
package batcher
