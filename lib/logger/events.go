package logger

// Event is the number of a log event.
type Event int

// Entry documents one log event.
type Entry struct {
	Event  Event
	Title  string
	Text   string
	Remedy string
}

// The numbers of the log events; a number is never given to another event.
const (
	Started              Event = 1001
	Stopped              Event = 1002
	Draining             Event = 1003
	SettingsInvalid      Event = 1004
	DutyFailed           Event = 1005
	InvariantFailed      Event = 1006
	TLSReloaded          Event = 1007
	TLSNotReloaded       Event = 1008
	CatalogueApplied     Event = 2001
	CatalogueRejected    Event = 2002
	StoreUnavailable     Event = 2003
	StoreRecovered       Event = 2004
	EditAccepted         Event = 2005
	StoreRelayed         Event = 2007
	StateFollowed        Event = 2008
	EditConflict         Event = 2006
	MemberJoined         Event = 3001
	MemberSuspected      Event = 3002
	MemberDead           Event = 3003
	MemberLeft           Event = 3004
	RequestRefused       Event = 4001
	AttemptFailed        Event = 4002
	ChunkRejected        Event = 4003
	FingerprintProven    Event = 4004
	UpstreamLeaving      Event = 4005
	UpstreamUnreadable   Event = 4006
	RequestCompleted     Event = 4007
	HostEmptied          Event = 1009
	SettingsReloaded     Event = 1010
	LinesLeftOut         Event = 1011
	PermitOutcomeUnknown Event = 5001
	ShardTaken           Event = 5002
	StepDeclared         Event = 6001
	StepComplete         Event = 6002
	SampleTooOld         Event = 6003
	WeightsAnnounced     Event = 6004
	JobOpened            Event = 6101
	JobRefused           Event = 6102
	JobEnded             Event = 6103
	JobAdopted           Event = 6104
	JobHandedOver        Event = 6105
	JobLost              Event = 6106
	JobKept              Event = 6107
	JobDiscarded         Event = 6108
	JobsNotReviewed      Event = 6109
	ItemRunEnded         Event = 6110
	ItemRunStopped       Event = 6111
	RewardEnded          Event = 6112
	ResultsListed        Event = 6113
	ResultsNotListed     Event = 6114
	TextsNotSaved        Event = 6115
	OrderFailed          Event = 7001
	LeaseAcquired        Event = 7002
	OrderGiven           Event = 7004
	LeasePassedOn        Event = 7005
	LeaseLost            Event = 7003
	SnapshotMissed       Event = 8001
	SnapshotBuilderTook  Event = 8002
)

// Catalogue documents every event; docs/events.md is generated from it.
var Catalogue = []Entry{
	{Started, "service started", "The process listens on its addresses.", "None."},
	{Stopped, "service stopped", "The process has drained and ends.", "None."},
	{Draining, "draining", "A planned stop began; readiness is off.", "None; wait for event 1002."},
	{SettingsInvalid, "invalid settings", "A flag or an environment variable has an impossible value.", "Correct the named setting."},
	{DutyFailed, "duty failed", "A duty returned an error; its supervisor stops the process.", "Read the error; the host restarts empty."},
	{InvariantFailed, "invariant failed", "A check of the program on itself failed.", "File an issue with the log line."},
	{TLSReloaded, "TLS files reloaded", "Changed certificate files are in use.", "None."},
	{TLSNotReloaded, "TLS files not reloaded", "Changed certificate files cannot be used; the former ones stay in use.", "Correct the files before the former certificate expires."},
	{HostEmptied, "host emptied", "The operator wanted this host emptied, and it holds nothing that must last.", "None."},
	{SettingsReloaded, "settings reloaded", "The settings file was read again; the changed keys are named.", "Restart the host for settings that are read at the start."},
	{LinesLeftOut, "log lines left out", "More lines were due than the budget allows or the reader took; they are counted here.", "None if short; otherwise look at the metrics."},
	{CatalogueApplied, "catalogue applied", "A higher catalogue revision is in force on this host.", "None."},
	{CatalogueRejected, "catalogue rejected", "A received catalogue was lower or damaged.", "None if rare; otherwise compare host versions."},
	{StoreUnavailable, "store unavailable", "The platform's store does not answer.", "Check the platform; edits and permits are refused meanwhile."},
	{StoreRecovered, "store recovered", "The platform's store answers again.", "None."},
	{StoreRelayed, "store reached through another host", "This host's own path to the store is broken.", "Check the host's network and the store's refusals."},
	{StateFollowed, "state followed", "This host began or ceased to watch a kind of the store's objects itself.", "None if rare; often: the zone's watcher is slow or out of reach."},
	{EditAccepted, "edit accepted", "A catalogue edit was accepted.", "None."},
	{EditConflict, "edit conflict", "A catalogue edit lost against another one.", "The author reads the new revision and applies again."},
	{MemberJoined, "member joined", "A host of the service was learned.", "None."},
	{MemberSuspected, "member suspected", "A host did not answer probes.", "None if short."},
	{MemberDead, "member dead", "A suspected host did not refute in time.", "Replace the host if it stays away."},
	{MemberLeft, "member left", "A host announced its planned stop.", "None."},
	{RequestRefused, "request refused", "A request got a final refusal.", "See the reason in docs/metrics.md."},
	{RequestCompleted, "request answered", "A request got the response of an upstream.", "None."},
	{AttemptFailed, "attempt failed", "An attempt on an upstream failed.", "Check the upstream if frequent."},
	{ChunkRejected, "chunk rejected", "A late, crossed or repeated chunk was refused.", "Check the upstream if frequent."},
	{FingerprintProven, "fingerprint proven", "A request crashed an upstream while it ran alone; it is refused from now on.", "Ask the caller named in the entry."},
	{UpstreamLeaving, "upstream leaving", "An upstream gets no new work.", "None."},
	{UpstreamUnreadable, "entry unreadable", "An entry of an upstream or a version could not be decoded and is left out.", "Correct the writer of the entry."},
	{PermitOutcomeUnknown, "permit uncertain", "The store's answer to a permit batch was lost; it is read back.", "None."},
	{ShardTaken, "shard taken", "This host began to hand out permits of a shard.", "None."},
	{StepDeclared, "step declared", "A trainer declared a step.", "None."},
	{StepComplete, "step complete", "A trainer holds all samples of a step.", "None."},
	{SampleTooOld, "sample too old", "A finished sample exceeded the staleness bound and is generated again.", "If frequent, raise capacity or the bound."},
	{WeightsAnnounced, "weights announced", "A trainer published a weight version.", "None."},
	{JobOpened, "batch job opened", "This host owns a batch job and runs its items.", "None."},
	{JobRefused, "batch job refused", "A batch job could not be stored; its submitter comes again.", "Check the store."},
	{JobEnded, "batch job ended", "The submitter ended a batch job; with an error, the end is not stored yet.", "None."},
	{JobAdopted, "batch job adopted", "This host took over a batch job from an owner that is gone.", "None if rare."},
	{JobHandedOver, "batch job handed over", "This host stops and passed a batch job on.", "None."},
	{JobLost, "batch job lost", "Another host took over a batch job that this host owned.", "None if rare; this host was out of reach."},
	{JobKept, "batch job kept", "The host that should own a batch job did not take it, so this one does.", "None if rare."},
	{JobDiscarded, "batch job discarded", "The objects of an old batch job were removed from the store.", "None."},
	{JobsNotReviewed, "batch jobs not reviewed", "The heads of the batch jobs could not be read.", "Check the store."},
	{ItemRunEnded, "item run ended", "A run of an item on an engine ended.", "Check the engine if failures are frequent."},
	{ItemRunStopped, "item run stopped", "This host ended a run of an item; the reason is given.", "None."},
	{RewardEnded, "reward call ended", "A reward call got its score or is repeated.", "Check the scoring service if failures are frequent."},
	{ResultsListed, "results listed", "The store holds further results of a batch job.", "None."},
	{ResultsNotListed, "results not listed", "A write of results failed and is repeated.", "Check the store."},
	{TextsNotSaved, "texts not saved", "A write of unfinished texts failed; they would be generated again after a crash.", "Check the store."},
	{OrderFailed, "order failed", "An engine did not carry out an order.", "Check the engine if repeated."},
	{OrderGiven, "order given", "An engine was ordered to load weights.", "None."},
	{LeaseAcquired, "lease acquired", "This host holds a lease.", "None."},
	{LeasePassedOn, "lease passed on", "This host cannot reach the store and asked another one to hold the lease.", "Check the host's path to the store."},
	{LeaseLost, "lease lost", "This host lost a lease.", "None if rare."},
	{SnapshotMissed, "snapshot missed", "A screen snapshot did not arrive in time; the screens show its age.", "Check the builder host."},
	{SnapshotBuilderTook, "snapshot builder took over", "This host builds the screen snapshots.", "None."},
}
