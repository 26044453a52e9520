// Package deliverer decides which finished samples a page contains, and encodes in cursors which samples a trainer holds.
package deliverer
