// Command demo runs celerygap with stand-ins in one process and prints the results that callers and a trainer got.
package main
