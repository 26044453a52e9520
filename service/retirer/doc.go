// Package retirer reports a host with a disk as empty when the operator requests that it be emptied.
package retirer
