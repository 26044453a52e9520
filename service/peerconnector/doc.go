// Package peerconnector carries JSON-RPC 2.0 calls between celerygap hosts over TCP, and streams of bytes on connections of their
// own.
package peerconnector
