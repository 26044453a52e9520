package logger

// Event is the number of a log event.
type Event int

// Entry documents one log event: what happened, and what the operator should do.
type Entry struct {
	Event  Event
	Title  string
	Text   string
	Remedy string
}

// The numbers of the log events. The number of a removed event is not used again.
const (
	Started               Event = 1001
	Stopped               Event = 1002
	Draining              Event = 1003
	SettingsInvalid       Event = 1004
	DutyFailed            Event = 1005
	InvariantFailed       Event = 1006
	TLSReloaded           Event = 1007
	TLSNotReloaded        Event = 1008
	CatalogueApplied      Event = 2001
	CatalogueRejected     Event = 2002
	StoreUnavailable      Event = 2003
	StoreRecovered        Event = 2004
	EditAccepted          Event = 2005
	StoreRelayed          Event = 2007
	StoreWatchChanged     Event = 2008
	EditConflict          Event = 2006
	MemberJoined          Event = 3001
	MemberSuspected       Event = 3002
	MemberDead            Event = 3003
	MemberLeft            Event = 3004
	RequestRefused        Event = 4001
	AttemptFailed         Event = 4002
	ChunkRejected         Event = 4003
	CrashingRequestProven Event = 4004
	UpstreamLeaving       Event = 4005
	UpstreamUnreadable    Event = 4006
	RequestCompleted      Event = 4007
	AnnouncementDropped   Event = 4008
	UpstreamLimited       Event = 4009
	TurnsUnavailable      Event = 4010
	StreamResumed         Event = 4011
	OriginCallFailed      Event = 4012
	OriginNotFound        Event = 4016
	OriginsNotPassedOn    Event = 4017
	OriginProved          Event = 4018
	HistoryWritten        Event = 4019
	HistoryNotWritten     Event = 4020
	UpstreamPathLost      Event = 4013
	UpstreamPathRegained  Event = 4014
	ConnectionsEnded      Event = 4015
	HostReportedEmpty     Event = 1009
	SettingsReloaded      Event = 1010
	LinesDropped          Event = 1011
	PermitOutcomeUnknown  Event = 5001
	ShardTaken            Event = 5002
	StepDeclared          Event = 6001
	StepEnded             Event = 6002
	SampleTooOld          Event = 6003
	WeightsAnnounced      Event = 6004
	JobOpened             Event = 6101
	JobRefused            Event = 6102
	JobEnded              Event = 6103
	JobAdopted            Event = 6104
	AdoptionBegan         Event = 6129
	AdoptionRefused       Event = 6130
	JobWaits              Event = 6131
	AdoptionRequested     Event = 6116
	JobHandedOver         Event = 6105
	JobLost               Event = 6106
	JobKept               Event = 6107
	JobDiscarded          Event = 6108
	JobsNotReviewed       Event = 6109
	ItemRunEnded          Event = 6110
	ItemRunStopped        Event = 6111
	RewardEnded           Event = 6112
	ResultsListed         Event = 6113
	ResultsNotListed      Event = 6114
	TextsNotSaved         Event = 6115
	ItemTextRestarted     Event = 6117
	JobOfOtherCustomer    Event = 6120
	JobEndForwarded       Event = 6121
	JobEndReceived        Event = 6122
	StartsHeld            Event = 6123
	JobUnloaded           Event = 6124
	PageBehind            Event = 6125
	PageWithoutResults    Event = 6126
	JobRouteChanged       Event = 6128
	ResultTooLarge        Event = 6127
	OrderFailed           Event = 7001
	LeaseAcquired         Event = 7002
	OrderGiven            Event = 7004
	LeaseHandedOver       Event = 7005
	LeaseLost             Event = 7003
	EngineReassigned      Event = 7010
	DivisionChanged       Event = 7011
	EnginesOrdered        Event = 7020
	EngineOrderFailed     Event = 7021
	DutyOrdersBegan       Event = 7022
	FencingRefused        Event = 7006
	UsageWritten          Event = 7031
	UsageReported         Event = 7032
	UsageFailed           Event = 7033
	UsageOverdue          Event = 7034
	CountsNotSent         Event = 7035
	SnapshotOverdue       Event = 8001
	SnapshotBuilderTook   Event = 8002
)

// Catalogue documents every event; docs/events.md is generated from it.
var Catalogue = []Entry{
	{Started, "service started", "The process has started and listens on its addresses.", "No action is needed."},
	{Stopped, "service stopped", "The process has drained and exits.", "No action is needed after a planned stop; otherwise read the error in the line."},
	{Draining, "draining", "A planned stop began: the host reports that it is not ready and refuses new work. A line with an error names a step of the stop that failed.", "Wait for event 1002."},
	{SettingsInvalid, "invalid settings", "A flag or an environment variable has a value that is not accepted, so the process does not start.", "Correct the named setting and start the process again."},
	{DutyFailed, "duty failed", "A duty, which is a part of the process that must keep running, failed; its supervisor stops the process.", "Read the error and check that the host starts again. It restarts without the state that it held in memory."},
	{InvariantFailed, "invariant failed", "A run-time check of the program's own state failed, which points to a defect of the program.", "File an issue with the complete log line."},
	{TLSReloaded, "TLS files reloaded", "Changed certificate files were read and are in use.", "No action is needed."},
	{TLSNotReloaded, "TLS files not reloaded", "Changed certificate files cannot be used, so the previous ones stay in use.", "Correct the files before the previous certificate expires."},
	{HostReportedEmpty, "host reported empty", "The operator asked to empty this host, and the host reported that no data that must last is on its disk. A line with an error means that the report failed and is retried.", "No action is needed."},
	{SettingsReloaded, "settings reloaded", "The settings file was read again. The line names the changed keys, or the error if the file could not be read. The running process keeps its settings.", "Correct the file if there is an error, and restart the host so that the changes take effect."},
	{LinesDropped, "log lines left out", "The log has a gap, because more lines were due than the rate limit allows or the output could take; the field count is their number.", "No action is needed if this is short; otherwise use the metrics, which have no such gap."},
	{CatalogueApplied, "catalogue applied", "A newer catalogue revision is in effect on this host.", "No action is needed."},
	{CatalogueRejected, "catalogue rejected", "A received catalogue was damaged or older than the current one, so the current one stays in effect.", "No action is needed if this is rare; otherwise check that all hosts run the same version of the program and that the catalogue is readable."},
	{StoreUnavailable, "store unavailable", "The platform's store does not respond, so this host keeps the state that it read last. Edits and permits are refused until the store responds again.", "Check the platform's store and the network path to it."},
	{StoreRecovered, "store recovered", "The platform's store responds again.", "No action is needed."},
	{StoreRelayed, "store reached through another host", "This host cannot reach the store itself, so another host made a call to the store for it.", "Check this host's network, and whether the store refuses this host."},
	{StoreWatchChanged, "store watch started or stopped", "This host started or stopped watching one kind of the store's objects itself. In each availability zone, one host watches for the others.", "No action is needed if this is rare; otherwise check the host that watches for the zone, because it is slow or unreachable."},
	{EditAccepted, "edit accepted", "A catalogue edit was accepted as a new revision.", "No action is needed."},
	{EditConflict, "edit conflict", "A catalogue edit was refused, because another edit was accepted first.", "The author reads the new revision, merges the edit and applies it again."},
	{MemberJoined, "member joined", "Another host of the service is known to be live: it is new, or it has responded again after a suspicion.", "No action is needed."},
	{MemberSuspected, "member suspected", "A host did not respond to probes and may have failed.", "No action is needed if the host is live again soon; otherwise check the host and its network."},
	{MemberDead, "member dead", "A suspected host did not show in time that it is live and now counts as failed.", "Replace the host if it does not return."},
	{MemberLeft, "member left", "A host announced its planned stop.", "No action is needed."},
	{RequestRefused, "request refused", "A request ended with a refusal instead of a response; the line names the reason.", "Look up the reason in docs/metrics.md."},
	{RequestCompleted, "request completed", "A request was completed with the response of an upstream.", "No action is needed."},
	{AttemptFailed, "attempt failed", "An attempt to run a request on an upstream failed, or a call to another host about a training step; the line names the cause.", "Check the upstream or the host if this is frequent."},
	{ChunkRejected, "chunk rejected", "A chunk of a response was discarded, because it was late or repeated or belonged to another attempt.", "Check the upstream if this is frequent."},
	{CrashingRequestProven, "crashing request proven", "An upstream crashed, or aborted the attempt repeatedly, while a request ran there alone. Every host refuses the request until the proof expires.", "Find the catalogue entry in the refusals with the reason crashes_upstreams, and ask the owner of the entry to correct the request."},
	{UpstreamLeaving, "upstream leaving", "An upstream is leaving and gets no new work. The field source names what showed it: the list, the upstream's own announcement in a response, or refusals.", "No action is needed."},
	{AnnouncementDropped, "announcement of leaving dropped", "An upstream announced that it is leaving, and the list now has an entry of a later process with the same id, which gets new work. The line names the start of the announcing process, as far as it was known, that of the entry, and the age of the announcement.", "No action is needed, unless the upstream did not restart: then compare the two starts."},
	{UpstreamLimited, "upstream limits its requests", "An upstream named another limit in a response: per_second is the number of requests a second that it takes from all hosts together, or 0 once it names none. Requests to it wait for turns, which one host hands out.", "Find out why the upstream is in need if it does not recover."},
	{TurnsUnavailable, "turns unavailable", "The host that hands out the turns for a limited upstream did not reply, so another host hands them out, at half the rate.", "No action is needed if this is rare; otherwise check the host in the field peer."},
	{StreamResumed, "stream resumed", "A stream goes on after the event in the field after, which an earlier attempt, or an earlier request of the caller, brought. The field software is the version of the upstream's software.", "No action is needed."},
	{OriginCallFailed, "call about the origin of a stream failed", "A host did not confirm the record of which software version began a stream, or a lookup of it; other hosts hold copies.", "No action is needed if this is rare; otherwise check the host in the field peer."},
	{OriginNotFound, "origin of a stream not found", "A caller takes a stream up, and neither this host nor another one knows which software version began it, or a host has two different records (outcome contradicted). The line has the number of hosts that were asked, how many of them did not respond, and how many records this host holds.", "No action is needed if this is rare; otherwise check whether hosts were lost or replaced faster than they pass records on."},
	{OriginsNotPassedOn, "origins of streams not passed on", "This host is stopping, and other hosts did not confirm in time that they hold the records of which software version began the streams that this host knows of.", "No action is needed if this is rare; streams without a record cannot be taken up by their callers."},
	{OriginProved, "origin of a stream proved", "A caller takes a stream up of which no host has a record. Its pool has had one software version for as long as the stream may have run, so the stream goes on at that version.", "No action is needed if this is rare; otherwise check why hosts lose their records."},
	{HistoryWritten, "history of software versions written", "The host that maintains the history of the software versions of pools wrote it to the store, because a version appeared or has been gone for ten minutes. With complete false, streams without a record are refused.", "No action is needed."},
	{HistoryNotWritten, "history of software versions not written", "The history of software versions could not be read or written and is tried again.", "Check the platform's store if this lasts; a conflict is the write of another host."},
	{UpstreamPathLost, "path to upstreams lost", "This host cannot open connections to several upstreams that other hosts reach, so its connections go through other hosts.", "Check this host's network."},
	{UpstreamPathRegained, "path to upstreams regained", "This host opened a connection to an upstream itself again.", "No action is needed."},
	{ConnectionsEnded, "connections ended", "A listener closed connections or refused requests, because clients broke its limits or took all of its connections. The line has the listener, the limit of its connections, their number in each state, and the ended ones since the last line by reason.", "No action is needed if callers are served; otherwise find the clients, or raise --max-fds or the memory of the host."},
	{UpstreamUnreadable, "store entry unreadable", "The store's entry of an upstream or of a weight version could not be decoded and is ignored.", "Correct the program that writes the entry."},
	{PermitOutcomeUnknown, "permit outcome unknown", "The store's response to an operation on permits was lost, so this host does not know whether the operation took effect; it reads the permits back.", "No action is needed."},
	{ShardTaken, "permit shard taken over", "This host began to grant the permits of a shard.", "No action is needed."},
	{StepDeclared, "step declared", "A trainer declared a step. A line with an error means that the store already holds another declaration of the step.", "No action is needed without an error; otherwise check the trainer, because one step was declared twice with different content."},
	{StepEnded, "step ended", "A step of a trainer ended; the field complete reports whether the trainer got all of its samples.", "No action is needed."},
	{SampleTooOld, "sample too old", "Finished samples exceeded the staleness bound and are generated again.", "If this is frequent, add generation capacity or raise the staleness bound."},
	{WeightsAnnounced, "weights announced", "A new weight version was announced.", "No action is needed."},
	{JobOpened, "batch job opened", "This host owns a batch job and runs its items. The field source names how it got the job: created, adopted or handed_over; chunks is the length of its list in the store.", "No action is needed."},
	{JobRefused, "batch job refused", "A batch job could not be stored, or it is unknown whether it was stored. The submitter must submit it again.", "Check the platform's store."},
	{JobOfOtherCustomer, "batch job of another customer", "A customer asked for a batch job that belongs to another one, and was told that there is no such job. The line names both.", "No action is needed if this is rare; otherwise ask the customer in the field customer where it got the id."},
	{JobEnded, "batch job ended", "The submitter ended a batch job. A line with an error means that the end is not stored yet and the write is retried.", "No action is needed."},
	{JobEndForwarded, "end of a batch job forwarded", "This host wrote the end of a batch job that another host owns and sent it to the owner; the field confirmed reports whether the owner stopped. Without a confirmation the call is repeated.", "Check the host in the field owner if its lines never become confirmed."},
	{JobEndReceived, "end of a batch job received", "This host owns a batch job or is taking it over, learned that its submitter ended it at another host, and starts nothing more of it. The field source names how: owner_call, review, directory or adoption.", "No action is needed; the source review means that the call to the owner did not arrive."},
	{JobUnloaded, "batch job unloaded", "The batch jobs of this host took too much memory, so it dropped one that has ended; its results are read from the store.", "If this is frequent, add hosts or memory, or keep results for a shorter time."},
	{PageBehind, "page of results behind", "A page of a batch job had no result at a position that this host had shown before, so the list in the store was read instead. The line names the source of the page, the owner and the version of the head that led there.", "No action is needed if this is rare; otherwise find the lines 6101, 6104, 6105 and 6106 of the job on all hosts; two 6101 without a 6106 in between show two owners."},
	{PageWithoutResults, "page without results", "A page of an incomplete batch job had no results. The field source names what showed that: this host as the owner, another host as the owner, the home of the job, or the store.", "No action is needed."},
	{JobRouteChanged, "route of a batch job changed", "The route under which the items of a batch job run is another one, or was found for the first time. The field standing tells what became of the route that accepted the job (accepted_by): kept, moved to a host or prefix that no longer matches, replaced by another route, removed, or pending while the catalogue is older than the job and lacks it.", "If a standing of removed is not intended, restore the route: after two seconds the items are given up."},
	{ResultTooLarge, "result too large", "An item was given up because its result is larger than the store accepts.", "Ask the submitter for items with shorter texts."},
	{StartsHeld, "starts of batch items held", "This host was paused, so other hosts may have ended or taken over its batch jobs; it starts no runs and reward calls until it has compared the jobs with the store or with other hosts. The field held reports whether this begins or ends.", "If this lasts, check this host's network, because it reaches neither the store nor the other hosts."},
	{AdoptionRequested, "adoption of a batch job requested", "The owner of a batch job is gone; a host was asked to take the job over. The field outcome is accepted, full (the host has no memory for the job) or failed.", "No action is needed if this is rare; otherwise check why hosts fail."},
	{AdoptionBegan, "adoption of a batch job began", "This host starts to read a batch job from the store in order to own it. The line has the number of its objects and items, and how much of the memory for callers is in use at that moment.", "No action is needed."},
	{AdoptionRefused, "adoption of a batch job refused", "This host has no memory for a batch job beside its other ones, so it left the job to another host. The line has how much of the memory for callers is in use.", "No action is needed unless the job waits (6131)."},
	{JobWaits, "batch job waits for memory", "Nobody runs a batch job whose owner is gone or had no memory for it. With waits true, no host that was asked has memory for it either: it stays in the store, its results can be read, and it is offered again with each review, the oldest job first. With waits false, a host has taken it, or it cannot be said that all lack memory.", "Add hosts or memory if jobs wait for long; jobs that end make room."},
	{JobAdopted, "batch job adopted", "This host took over a batch job whose owner is gone.", "No action is needed if this is rare; otherwise check why hosts fail."},
	{JobHandedOver, "batch job handed over", "This host is stopping and handed a batch job over to another host; the field accepted reports whether that host took it.", "No action is needed."},
	{JobLost, "batch job lost", "Another host took over a batch job that this host owned, so this host stopped the items that it ran.", "No action is needed if this is rare; otherwise check this host's network, because the other hosts could not reach it."},
	{JobKept, "batch job kept", "The host that should own a batch job did not accept it, so this host stores the job and owns it.", "No action is needed if this is rare; otherwise check the host in the field home."},
	{JobDiscarded, "batch job discarded", "The objects of an expired batch job were removed from the store. A line with an error means that the removal failed.", "No action is needed without an error; otherwise check the platform's store."},
	{JobsNotReviewed, "batch jobs not reviewed", "The heads of the batch jobs could not be read, so this host cannot take over jobs whose owner is gone; it retries.", "Check the platform's store."},
	{ItemRunEnded, "item run ended", "A run of a batch item on an engine ended; a warning names the failure.", "Check the engine if failures are frequent."},
	{ItemRunStopped, "item run stopped", "This host stopped a run of a batch item; the field reason names the cause.", "No action is needed."},
	{ItemTextRestarted, "item text restarted", "The text of a batch item starts again, because no engine of the software version that began it is left, or because none was free for longer than it takes to generate the text again.", "No action is needed if this is rare; otherwise check whether the engines of one software version are too few."},
	{RewardEnded, "reward call ended", "The call that scores a finished batch item ended; a warning means that it returned no score.", "Check the scoring service if warnings are frequent."},
	{ResultsListed, "results listed", "Further results of a batch job were written to the store.", "No action is needed."},
	{ResultsNotListed, "results not listed", "A write of batch results to the store failed and is retried.", "Check the platform's store."},
	{TextsNotSaved, "texts not saved", "A write of unfinished texts to the store failed; if this host crashes, they are generated again.", "Check the platform's store."},
	{OrderFailed, "order failed", "An engine did not execute an order.", "Check the engine if this is repeated."},
	{OrderGiven, "order given", "An engine accepted an order to load weights, or has them already.", "No action is needed."},
	{LeaseAcquired, "lease acquired", "This host acquired a lease and may send the orders that the lease covers.", "No action is needed."},
	{LeaseHandedOver, "lease handed over", "This host cannot reach the store or the engines, so it requested that another host hold the lease as the stand-in holder. A line with an error means that the request failed.", "Check this host's network path to the store."},
	{LeaseLost, "lease lost", "This host no longer holds a lease, so it sends no further orders under it.", "No action is needed if this is rare; otherwise check this host's network path to the store."},
	{EngineReassigned, "engine reassigned", "The holder of the lease for orders moved an engine from one model to another, because the demand of their batch jobs differs from the division of the engines. The line names the engines of both models before the move and the numbers that their demand calls for.", "No action is needed, unless the same engines move back and forth: then compare the demand in the lines with event 7011."},
	{DivisionChanged, "demand of models", "The demand by which the holder of the lease for orders divides the engines of a pool among its models; one line for each model, after a change by more than an engine and at most every 10 s.", "No action is needed."},
	{EnginesOrdered, "engines ordered", "The holder of the lease for duties ordered a number of engines of one kind in a zone, and the platform accepted it. The field reason names why: minimum, need, surplus or cheaper; peak, required and have are the work, the engines that it calls for and those there are in the whole pool.", "No action is needed."},
	{EngineOrderFailed, "order of engines failed", "The platform did not accept an order of engines; the field outcome tells whether it has none there (rejected), was called too often (throttled) or did not respond (unknown). Rejected orders are placed elsewhere, others are repeated.", "Check the platform's API for duties if this is repeated."},
	{DutyOrdersBegan, "orders of engines began or ended", "This host began or ceased to decide the number of engines, because it acquired or lost the lease for duties. It orders nothing for one boot time after the beginning.", "No action is needed."},
	{FencingRefused, "fencing token refused", "The platform refused the fencing token of this host as outdated, so this host makes no further calls with it and releases the lease.", "No action is needed if this is rare; otherwise check whether two fleets use the same platform."},
	{UsageWritten, "usage written", "The host with the duty wrote what it will report for the window in the field window: requests of all customers together, and from how many hosts counts arrived. A line with an error means that the write failed and is retried.", "No action is needed without an error; otherwise check the platform's store."},
	{UsageReported, "usage reported", "The platform accepted the usage of a window; the field late is the time since the end of the window.", "No action is needed."},
	{UsageFailed, "report of usage failed", "The platform did not confirm the usage of a window. The same report is repeated.", "Check the platform's API for duties if this is frequent."},
	{UsageOverdue, "usage not reported", "The usage of a window could not be reported in time and is given up.", "Report the counts of the line by hand; check the platform's store and its API for duties."},
	{CountsNotSent, "counts not sent", "This host could not send its counts of requests to the collecting host in the field peer; it repeats them.", "No action is needed if this is rare; otherwise check the host in the field peer."},
	{SnapshotOverdue, "snapshot overdue", "No new snapshot for the screens arrived in time; the screens show the age of the last one.", "Check the host in the field builder, which builds the snapshots."},
	{SnapshotBuilderTook, "snapshot builder took over", "This host now builds the snapshots for the screens.", "No action is needed."},
}
