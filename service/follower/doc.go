// Package follower keeps a copy of all objects of one kind in the store, through outages, cut watches and lost history.
package follower
