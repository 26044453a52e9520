// Package soak tests the promises of docs/design.md section 1.1, which its messages call P1 to P9, with separate
// processes into which it injects faults. It has tests only.
package soak
