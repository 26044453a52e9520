// Package engineconnector is the client of the engines' wire protocol.
package engineconnector
