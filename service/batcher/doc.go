// Package batcher runs batch jobs: it decides which item runs next and on which engine, and keeps the lists of results.
//
// Batcher is the state machine; Driver owns it, performs its commands and passes calls on to the host that owns a job.
package batcher
