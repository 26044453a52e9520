// Package limiter decides which requests are admitted, queued or refused, and whether an attempt may be retried. Its load is each
// request of a host, for some tens of entries and about a hundred customers. Callers of an entry that is short of capacity get equal
// shares of it by customer, in slot time, whatever a customer sends; what a customer does not use goes to the others at once. A
// customer with a better rank goes first, except for one in eight admissions. An arrival costs time in proportion to the queue of its
// entry, which holds 64 requests unless configured otherwise, and a departure likewise. The memory is bounded by the queues and by
// 256 customers for each entry and rank.
package limiter
