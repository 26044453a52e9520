// Package disseminator distributes each accepted catalogue to every host.
package disseminator
