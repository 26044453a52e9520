// Package storeconnector is the client of the wire protocol of the platform's store.
package storeconnector
