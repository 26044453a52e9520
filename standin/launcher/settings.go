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
		floatFlag("writes-per-second", provider.DefaultWritesPerSecond, "rate of writes; negative for no limit"),
		floatFlag("reads-per-second", provider.DefaultReadsPerSecond, "rate of reads; negative for no limit"),
		floatFlag("weights-per-second", provider.DefaultWeightsPerSecond, "rate of calls to the weight store; negative for no limit"),
		durationFlag("host-lag", time.Second, "delay of changes in the list of hosts"),
		stringListFlag("host", "listed host: id,address,zone,region,pool; several are separated by semicolons"),
	)
}

func engineFlags() []cli.Flag {
	return append(
		hostFlags(),
		stringListFlag("model", "name:version of a model that is loaded at the start"),
		intFlag("slots", inferrer.DefaultSlots, "streams that run at once"),
		intFlag("queue", inferrer.DefaultQueue, "streams that wait"),
		durationFlag("token-interval", inferrer.DefaultTokenInterval, "time per token of a stream that runs alone"),
		durationFlag("batch-interval", 0, "additional time per token for each other running stream"),
		durationFlag("prefill-interval", inferrer.DefaultPrefillInterval, "time per prompt token"),
		intFlag("mean-tokens", 0, "mean natural length; 0 lets completions run to max_tokens"),
		intFlag("cache-entries", inferrer.DefaultCacheEntries, "cached prompt prefixes"),
		durationFlag("cache-event-lag", inferrer.DefaultReportLag, "delay of cache events"),
		intFlag("cache-event-gap", inferrer.DefaultCacheEventGap, "each so many-th cache event is lost; negative for none"),
		durationFlag("load-time", inferrer.DefaultLoadTime, "time of a load in addition to its transfer"),
		intFlag("kept-versions", inferrer.DefaultKeptVersions, "loaded versions of one model"),
		durationFlag("report-lag", inferrer.DefaultReportLag, "interval and delay of load reports"),
		boolFlag("checks-fencing", "refuse orders with a lower fencing token than an earlier one"),
		boolFlag("ignores-expiry", "carry out expired orders"),
		stringFlag("weight-store", "", "base URL of the weight store; empty makes loads need no transfer"),
		stringFlag("poison-marker", inferrer.DefaultCrashMarker, "text in a prompt that crashes the engine"),
		stringFlag("record-file", "", "file to which the runs are appended as JSON lines; empty keeps them in memory only"),
	)
}

func plainFlags() []cli.Flag {
	return append(
		hostFlags(),
		durationFlag("delay", 0, "time of one run"),
		stringFlag("poison-marker", responder.DefaultCrashMarker, "text in a body that crashes the service"),
	)
}

func scorerFlags() []cli.Flag {
	return append(hostFlags(), durationFlag("delay", 0, "time of one score"))
}

func trainerFlags() []cli.Flag {
	return append(
		listenFlags(),
		stringFlag("name", "", "the trainer's catalogue entry"),
		stringListFlag("service", "base URL of a celerygap host; several are separated by commas"),
		stringFlag("weight-store", "", "base URL of the weight store; empty uploads nothing"),
		stringFlag("model", "", "model whose weights are uploaded"),
		intFlag("steps", 0, "steps to train; 0 for no end"),
		intFlag("groups", trainer.DefaultGroups, "prompts per step"),
		intFlag("group-size", trainer.DefaultGroupSize, "samples per prompt"),
		intFlag("max-tokens", trainer.DefaultMaxTokens, "longest completion"),
		intFlag("staleness-bound", 1, "oldest sample, in weight versions, and steps declared ahead"),
		intFlag("start-version", 0, "weight version that the engines have at the start"),
		intFlag("first-step", 1, "number of the first step"),
		durationFlag("train-time", trainer.DefaultTrainTime, "time to train on one step"),
		durationFlag("page-wait", trainer.DefaultPageWait, "time that a page request may wait for samples"),
		intFlag("weight-bytes", trainer.DefaultWeightBytes, "size of one weight version"),
		intFlag("token-bytes", 0, "bytes per token that texts must have; 0 checks nothing"),
	)
}
