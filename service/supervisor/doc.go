// Package supervisor builds the parts of one host, supervises their duties and stops them in order.
package supervisor
