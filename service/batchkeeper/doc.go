// Package batchkeeper stores batch jobs, their owners and their lists of results in the platform's store.
//
// A job is stored in parts and exists once its head is stored. The list of results is a chain of chunks, each of which is
// created only if its position is free: of two hosts that both assume that they own a job, only one can write the next
// chunk.
package batchkeeper
