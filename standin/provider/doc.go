// Package provider implements the stand-in platform, which has the object store, the weight store and the list of hosts.
package provider
