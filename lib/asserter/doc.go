// Package asserter checks the program's own invariants at run time and counts the checks and the failures.
package asserter
