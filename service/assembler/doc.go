// Package assembler builds and supervises the parts of a host on a platform that keeps the configuration, lists the
// upstreams and stores batch jobs. The platform's protocols are passed in as interfaces and decoding functions.
package assembler
