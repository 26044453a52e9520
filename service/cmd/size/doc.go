// Command size measures how the costs of the control plane grow with the numbers of hosts and upstreams.
// docs/CAPACITY.md derives its figures from the fitted lines that it prints.
package main
