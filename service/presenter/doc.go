// Package presenter builds numbered snapshots of the whole service and decides when each host shows them.
package presenter
