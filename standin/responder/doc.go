// Package responder implements the stand-in plain service, which counts its runs and echoes the attempt id.
package responder
