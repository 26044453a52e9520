// Package elector chooses one of the live hosts for a task, the same on every host that sees the same hosts.
package elector
