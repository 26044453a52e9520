// Package sizer measures how the costs of the control plane grow with the number of hosts and upstreams. The control
// plane is what hosts do without requests: connections between hosts, membership, the catalogue and the host list.
package sizer
