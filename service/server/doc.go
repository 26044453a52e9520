// Package server serves the HTTP APIs of callers, trainers and operators.
package server
