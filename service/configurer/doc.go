// Package configurer reads the settings of the service from flags and environment variables and checks them.
package configurer
