// Package reserver bounds the memory that a host holds for its callers.
//
// One Account belongs to a process. Whoever holds bytes for callers reserves them first: bodies of requests and responses, messages
// between hosts, batch jobs. What does not fit waits in order of arrival for a short time; after that it is refused with the time
// after which there is likely to be room. Work that was accepted before is charged in any case, and new work waits for it.
//
// A load that it answers: many large submissions at once on a small host. Each is taken in, one after the other, and small requests
// pass beside them, because a part of the limit is kept for those.
package reserver
