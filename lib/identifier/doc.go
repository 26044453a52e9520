// Package identifier defines the types of the ids and units that the programs share.
package identifier
