// Package router chooses the upstream of an attempt by prompt prefix, load, distance and weight version.
package router
