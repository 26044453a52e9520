// Package logger writes structured logs in which each line is a numbered event of a documented catalogue.
package logger
