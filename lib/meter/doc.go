// Package meter records OpenTelemetry metrics and serves them to Prometheus.
package meter
