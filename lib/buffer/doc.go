// Package buffer connects duties by bounded queues that refuse an item, instead of blocking the sender, when they are full.
package buffer
