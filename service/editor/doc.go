// Package editor checks catalogue edits and applies them to the store by conditional update.
package editor
