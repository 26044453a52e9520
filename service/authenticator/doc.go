// Package authenticator loads TLS identities from files and reloads them when the files change.
package authenticator
