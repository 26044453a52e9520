// Package registrar registers an upstream with the platform and marks it as leaving when it stops.
package registrar
