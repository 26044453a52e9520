// Package reader reads, checks and writes catalogue files.
package reader
