// Command standin runs the stand-ins of the platform, the upstreams and the trainers.
package main
