package launcher

import (
	"time"

	"github.com/urfave/cli/v3"

	"celerygap.example/standin/inferrer"
	"celerygap.example/standin/provider"
	"celerygap.example/standin/responder"
	"celerygap.example/standin/trainer"
)

func platformFlags() []cli.Flag {
	return append(
		listenFlags(),
		decimal("writes-per-second", provider.DefaultWritesPerSecond, "rate of writes; negative for no limit"),
		decimal("reads-per-second", provider.DefaultReadsPerSecond, "rate of reads; negative for no limit"),
		decimal("weights-per-second", provider.DefaultWeightsPerSecond, "rate of calls to the weight store; negative for no limit"),
		span("host-lag", time.Second, "delay of changes in the list of hosts"),
		texts("host", "listed host: id,address,zone,region,pool; several are separated by semicolons"),
	)
}

func engineFlags() []cli.Flag {
	return append(
		hostFlags(),
		texts("model", "name:version of a model that is loaded at the start"),
		number("slots", inferrer.DefaultSlots, "streams that run at once"),
		number("queue", inferrer.DefaultQueue, "streams that wait"),
		span("token-interval", inferrer.DefaultTokenInterval, "time per token of a stream that runs alone"),
		span("batch-interval", 0, "additional time per token for each other running stream"),
		span("prefill-interval", inferrer.DefaultPrefillInterval, "time per prompt token"),
		number("mean-tokens", 0, "mean natural length; 0 lets completions run to max_tokens"),
		number("cache-entries", inferrer.DefaultCacheEntries, "cached prompt prefixes"),
		span("cache-event-lag", inferrer.DefaultReportLag, "delay of cache events"),
		number("cache-event-gap", inferrer.DefaultCacheEventGap, "each so many-th cache event is lost; negative for none"),
		span("load-time", inferrer.DefaultLoadTime, "time of a load in addition to its transfer"),
		number("kept-versions", inferrer.DefaultKeptVersions, "loaded versions of one model"),
		span("report-lag", inferrer.DefaultReportLag, "interval and delay of load reports"),
		toggle("checks-fencing", "refuse orders with a lower fencing token than an earlier one"),
		toggle("ignores-expiry", "carry out expired orders"),
		text("weight-store", "", "base URL of the weight store; empty makes loads need no transfer"),
		text("poison-marker", inferrer.DefaultPoisonMarker, "text in a prompt that crashes the engine"),
		text("record-file", "", "file to which the runs are appended as JSON lines; empty keeps them in memory only"),
	)
}

func plainFlags() []cli.Flag {
	return append(
		hostFlags(),
		span("delay", 0, "time of one run"),
		text("poison-marker", responder.DefaultPoisonMarker, "text in a body that crashes the service"),
	)
}

func scorerFlags() []cli.Flag {
	return append(hostFlags(), span("delay", 0, "time of one score"))
}

func trainerFlags() []cli.Flag {
	return append(
		listenFlags(),
		text("name", "", "the trainer's catalogue entry"),
		texts("service", "base URL of a celerygap host; several are separated by commas"),
		text("weight-store", "", "base URL of the weight store; empty uploads nothing"),
		text("model", "", "model whose weights are uploaded"),
		number("steps", 0, "steps to train; 0 for no end"),
		number("groups", trainer.DefaultGroups, "prompts per step"),
		number("group-size", trainer.DefaultGroupSize, "samples per prompt"),
		number("max-tokens", trainer.DefaultMaxTokens, "longest completion"),
		number("staleness-bound", 1, "oldest sample, in weight versions, and steps declared ahead"),
		number("start-version", 0, "weight version that the engines have at the start"),
		number("first-step", 1, "number of the first step"),
		span("train-time", trainer.DefaultTrainTime, "time to train on one step"),
		span("page-wait", trainer.DefaultPageWait, "time that a page request may wait for samples"),
		number("weight-bytes", trainer.DefaultWeightBytes, "size of one weight version"),
		number("token-bytes", 0, "bytes per token that texts must have; 0 checks nothing"),
	)
}
