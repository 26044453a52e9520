// Package scorer implements the stand-in service that scores samples.
package scorer
