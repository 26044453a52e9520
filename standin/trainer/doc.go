// Package trainer implements the stand-in trainer, a client that declares steps, checks each sample and announces
// weights.
package trainer
