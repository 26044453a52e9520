// Package elector chooses one of the live hosts for a task, among those with the most processor time. All hosts that know the
// same live members choose the same host.
package elector
