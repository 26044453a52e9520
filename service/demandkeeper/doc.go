// Package demandkeeper brings the demand of batch jobs to the hosts that decide by it: those that hold the lease for orders and
// that for duties. It answers an uneven load, in which the model of one trainer needs several times the engines of another.
//
// Keeper holds what other hosts stated last, at most maxModels models for each of at most maxHosts hosts; Driver sends and
// receives the statements. Statements expire, so a host that stops needs no goodbye.
package demandkeeper
