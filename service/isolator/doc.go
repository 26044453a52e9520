// Package isolator attributes crashes of upstreams to requests. A request that was in flight at a crash becomes a suspect and
// runs alone; if its upstream crashes again, its fingerprint is proven and its requests are refused.
package isolator
