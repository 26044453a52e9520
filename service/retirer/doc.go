// Package retirer answers the operator's wish to empty a host with a disk.
package retirer
