// Package batchkeeper stores batch jobs, their owners and their lists of results in the platform's store.
//
// A job is stored in parts and exists once its head does. The list of results is a chain of chunks, each created only
// if absent, so that the store itself decides what stands at a position: of two hosts that both believe they own a job
// only one can write the next chunk.
package batchkeeper
