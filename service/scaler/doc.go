// Package scaler decides how many engines of each kind each availability zone should have, and orders them.
//
// It answers a load that changes within seconds by several times, on engines that take seconds to boot, whose prices differ by zone
// and of which the preemptible ones of a zone may go at once, at two seconds' notice. A late response costs callers far more than
// an engine, so there is capacity for the peak of the last 30 s with a quarter in reserve, and for the loss of the preemptible
// engines of any zone; engines are ordered at once and given back slowly.
//
// Scaler is the state machine. It holds a few numbers for each engine, and 30 s of peaks for each pool. Driver sends its
// orders, under the lease for duties.
package scaler
