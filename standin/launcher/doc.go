// Package launcher reads the flags and environment variables of the stand-in program and runs its subcommands.
package launcher
