// Package codec holds the wire types that are generated from schema.yaml.
package codec

//go:generate go tool oapi-codegen -config config.yaml schema.yaml
