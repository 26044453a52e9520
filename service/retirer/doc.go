// Package retirer reports hosts with disks as empty when the operator requests that they be emptied.
package retirer
