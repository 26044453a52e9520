// Package storekeeper provides an in-memory store with injectable faults, for tests and for the stand-in platform.
package storekeeper
