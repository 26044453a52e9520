package refuser

import "net/http"

// Reason says why a request was refused; callers can rely on its value.
type Reason string

// RetryReason says why an attempt was retried.
type RetryReason string

// The reasons of refusals.
const (
	UnknownEntry           Reason = "unknown_entry"
	InvalidRequest         Reason = "invalid_request"
	Unauthenticated        Reason = "unauthenticated"
	KeyUnconfirmed         Reason = "key_unconfirmed"
	JobIDTaken             Reason = "job_id_taken"
	BodyTooLarge           Reason = "body_too_large"
	HeaderTooLarge         Reason = "header_too_large"
	BodyTooSlow            Reason = "body_too_slow"
	ConnectionsFull        Reason = "connections_full"
	RateLimited            Reason = "rate_limited"
	QueueFull              Reason = "queue_full"
	DeadlineTooShort       Reason = "deadline_too_short"
	DeadlineExceeded       Reason = "deadline_exceeded"
	NoUpstream             Reason = "no_upstream"
	UpstreamsLimited       Reason = "upstreams_limited"
	StreamUnknown          Reason = "stream_unknown"
	RetryBudgetSpent       Reason = "retry_budget_spent"
	AttemptsExhausted      Reason = "attempts_exhausted"
	CrashesUpstreams       Reason = "crashes_upstreams"
	StoreUnavailable       Reason = "store_unavailable"
	MemoryFull             Reason = "memory_full"
	OutcomeUnknown         Reason = "outcome_unknown"
	KeyReused              Reason = "idempotency_key_reused"
	KeyInProgress          Reason = "idempotency_key_in_progress"
	Draining               Reason = "draining"
	NotReady               Reason = "not_ready"
	CallerGone             Reason = "caller_gone"
	UpstreamRefused        Reason = "upstream_refused"
	ResponseIncomplete     Reason = "answer_incomplete"
	PermitOwnerUnreachable Reason = "permit_owner_unreachable"
	StepUnknown            Reason = "step_unknown"
	StepDiffers            Reason = "step_differs"
	CursorInvalid          Reason = "cursor_invalid"
	VersionReverted        Reason = "weight_version_reverted"
)

// The reasons of retries.
const (
	RetryConnectFailed       RetryReason = "connect_failed"
	RetryUpstreamRefused     RetryReason = "upstream_refused"
	RetryConnectionLost      RetryReason = "connection_lost"
	RetryTruncated           RetryReason = "truncated"
	RetryBindingMismatch     RetryReason = "binding_mismatch"
	RetryUpstreamLeaving     RetryReason = "upstream_leaving"
	RetryStoreOutcomeUnknown RetryReason = "store_uncertain"
	RetrySampleTooOld        RetryReason = "sample_too_old"
	RetryStraggler           RetryReason = "straggler_duplicate"
	RetryPermitOwnerMoved    RetryReason = "permit_owner_moved"
	RetryStalled             RetryReason = "stalled"
	RetryOlderWeights        RetryReason = "older_weights"
	RetryUpstreamRestarted   RetryReason = "upstream_restarted"
)

// Entry documents one refusal reason; Text is also the title of its problem details.
type Entry struct {
	Reason Reason
	Status int
	Text   string
}

// RetryEntry documents one retry reason.
type RetryEntry struct {
	Reason RetryReason
	Text   string
}

// Catalogue documents every refusal reason; docs/metrics.md is generated from it.
var Catalogue = []Entry{
	{UnknownEntry, http.StatusNotFound, "The catalogue has no entry of that name and kind."},
	{InvalidRequest, http.StatusBadRequest, "The request is malformed; the detail names the field."},
	{Unauthenticated, http.StatusUnauthorized, "The request needs the key of a customer, and has none, more than one, or one that is not known."},
	{KeyUnconfirmed, http.StatusServiceUnavailable, "The key cannot be checked, because the host does not know whether its configuration is current."},
	{JobIDTaken, http.StatusConflict, "The id of the batch job is already in use."},
	{BodyTooLarge, http.StatusRequestEntityTooLarge, "The body exceeds the entry's limit."},
	{HeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "The header exceeds the configured limit."},
	{BodyTooSlow, http.StatusRequestTimeout, "The body did not arrive in time, or arrived slowly while other requests needed its memory."},
	{ConnectionsFull, http.StatusServiceUnavailable, "All connections of this host have a request running."},
	{RateLimited, http.StatusTooManyRequests, "The entry's request rate is used up."},
	{QueueFull, http.StatusServiceUnavailable, "The entry's queue is full."},
	{DeadlineTooShort, http.StatusServiceUnavailable, "The request cannot be finished before its deadline."},
	{DeadlineExceeded, http.StatusGatewayTimeout, "The deadline passed while the request ran."},
	{NoUpstream, http.StatusServiceUnavailable, "No upstream of the pool can take work."},
	{UpstreamsLimited, http.StatusServiceUnavailable, "The upstreams limit their requests, and the turn of this one comes after its deadline."},
	{StreamUnknown, http.StatusServiceUnavailable, "The stream cannot be taken up: no host that responds knows the software version that began it."},
	{RetryBudgetSpent, http.StatusServiceUnavailable, "An attempt failed and the retry budget is used up."},
	{AttemptsExhausted, http.StatusBadGateway, "Every allowed attempt failed."},
	{CrashesUpstreams, http.StatusUnprocessableEntity, "This request is known to crash the upstreams that run it."},
	{StoreUnavailable, http.StatusServiceUnavailable, "The platform's store is needed and does not answer."},
	{MemoryFull, http.StatusServiceUnavailable, "The memory of this host for callers is taken by other requests."},
	{OutcomeUnknown, http.StatusBadGateway, "The request may have run; its answer is not known."},
	{KeyReused, http.StatusUnprocessableEntity, "The idempotency key belongs to a request with another body."},
	{KeyInProgress, http.StatusConflict, "The request with this idempotency key is still running."},
	{Draining, http.StatusServiceUnavailable, "The host is stopping."},
	{NotReady, http.StatusServiceUnavailable, "The host does not hold a current catalogue yet."},
	{CallerGone, 499, "The caller closed its connection."},
	{UpstreamRefused, http.StatusBadGateway, "The upstream refused the request."},
	{ResponseIncomplete, http.StatusBadGateway, "The upstream's answer ended before its end marker."},
	{PermitOwnerUnreachable, http.StatusServiceUnavailable, "The host that grants permits for this key cannot be reached."},
	{StepUnknown, http.StatusNotFound, "The trainer has not declared this step."},
	{StepDiffers, http.StatusConflict, "The step was declared before with other content."},
	{CursorInvalid, http.StatusBadRequest, "The cursor is damaged or belongs to another step."},
	{VersionReverted, http.StatusConflict, "A weight version may only grow."},
}

// RetryCatalogue documents every retry reason.
var RetryCatalogue = []RetryEntry{
	{RetryConnectFailed, "No connection to the upstream; nothing was sent."},
	{RetryUpstreamRefused, "The upstream refused before it started."},
	{RetryConnectionLost, "The connection ended during the answer."},
	{RetryTruncated, "The answer ended without its end marker."},
	{RetryBindingMismatch, "A chunk of another attempt arrived."},
	{RetryUpstreamLeaving, "The upstream is leaving."},
	{RetryStoreOutcomeUnknown, "The store's answer was lost; the object was read back."},
	{RetrySampleTooOld, "A sample exceeded the staleness bound."},
	{RetryStraggler, "A slow sample was started a second time near the end of a step."},
	{RetryPermitOwnerMoved, "Another host now grants permits for the shard."},
	{RetryStalled, "The upstream sent nothing for too long."},
	{RetryOlderWeights, "The upstream served weights older than the request allows."},
	{RetryUpstreamRestarted, "Another process of the upstream responded than the one that the list describes."},
}
