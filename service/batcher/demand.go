package batcher

import (
	"cmp"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

const (
	// defaultEvents is the expected length of a text of which the submitter states none, until texts of the model are complete.
	defaultEvents = 64
	// arrivalWindow bounds the submissions from which the rate of arriving work follows, and arrivalJobs their number.
	arrivalWindow = 30 * time.Second
	arrivalJobs   = 4
	// minInterval bounds the rate of arriving work of jobs that are submitted at nearly the same time.
	minInterval = time.Second
	// arrivalHold is how long after its last submission the arriving work of a model is stated without open jobs: trainers pause
	// between two steps, and engines that left the model meanwhile would have to load its weights again.
	arrivalHold = 10 * time.Second
	// waitedPart sets how long items of a job must have waited for engines, as a part of the time until it is due, so that more
	// engines would have made it complete sooner.
	waitedPart = 6
	// maxAging bounds the weight of a late job's work.
	maxAging = 2
)

// noteSlowness remembers the pools whose engines state how long work takes on them; only these, and those whose engines are
// ordered by load, are divided by demand.
func (b *Batcher) noteSlowness(pool identifier.PoolName, load codec.LoadReport) {
	if load.Slowness > 0 {
		b.stating[pool] = struct{}{}
	}
}

// Demand returns the demand of the models of the open jobs on the pools whose engines state how long work takes on them, and on
// those in always. It is ordered by pool and model.
func (b *Batcher) Demand(now time.Time, always map[identifier.PoolName]bool) []codec.ModelDemand {
	if len(b.stating) == 0 && len(always) == 0 {
		return nil
	}
	byModel := make(map[identifier.ModelName][]*job)
	for _, j := range b.jobs {
		if j.job.Model != "" && j.routed && (!j.ended || now.Sub(j.submittedAt) <= arrivalWindow) {
			byModel[j.job.Model] = append(byModel[j.job.Model], j)
		}
	}
	var demands []codec.ModelDemand
	for model, jobs := range byModel {
		for pool, demand := range b.modelDemand(now, jobs) {
			if _, ok := b.stating[pool]; ok || always[pool] {
				demand.Pool, demand.Model = pool, model
				demands = append(demands, *demand)
			}
		}
	}
	slices.SortFunc(demands, func(x, y codec.ModelDemand) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Model, y.Model))
	})
	return demands
}

// modelDemand returns the demand of a model on each pool, or none if none of its jobs is open or recent.
func (b *Batcher) modelDemand(now time.Time, jobs []*job) map[identifier.PoolName]*codec.ModelDemand {
	slices.SortFunc(jobs, func(x, y *job) int { return x.submittedAt.Compare(y.submittedAt) })
	typical := typicalEvents(now, jobs)
	open := slices.DeleteFunc(slices.Clone(jobs), func(j *job) bool { return j.ended || j.unfinished() == 0 })
	newest := jobs[len(jobs)-1]
	if len(open) == 0 && now.Sub(newest.submittedAt) > arrivalHold {
		return nil
	}
	demands := make(map[identifier.PoolName]*codec.ModelDemand)
	works := make([]jobWork, 0, len(open))
	for _, j := range open {
		work := j.work(now, typical)
		works = append(works, work)
		for pool, share := range j.poolShares() {
			demand, ok := demands[pool]
			if !ok {
				demand = &codec.ModelDemand{}
				demands[pool] = demand
			}
			demand.WaitingItems += work.waitingItems
			demand.RunningItems += work.runningItems
			demand.WaitingEvents += share * work.waiting
			demand.RunningEvents += share * work.running
			demand.Needed += share * work.needed
			if due := identifier.Duration(work.left); work.timed && (demand.DueIn == 0 || due < demand.DueIn) {
				demand.DueIn = due
			}
		}
	}
	arriving, late := arrivalRate(now, jobs, typical, len(open) > 0), b.late(now, works)
	for pool, share := range newest.poolShares() {
		if demands[pool] == nil {
			demands[pool] = &codec.ModelDemand{}
		}
		demands[pool].Arriving = share * arriving
	}
	for _, demand := range demands {
		demand.Late = late
	}
	return demands
}

// jobWork is the expected work that remains of an open job.
type jobWork struct {
	waitingItems, runningItems int
	waiting, running           float64
	// needed is the rate that completes all of the job when it is due, weighted with the part of that time that has passed: it
	// grows while jobs pile up, and stays below the rate at which they arrive while each is complete before the second next one
	// comes.
	needed float64
	// longest is the greatest number of events that one item lacks.
	longest float64
	// left is the time until the job is due; timed is false if it has no due time.
	left  time.Duration
	timed bool
	// waited is set if items waited for a good part of the time until due.
	waited bool
}

func (j *job) work(now time.Time, typical float64) jobWork {
	var work jobWork
	if j.entry.Batch != nil && j.entry.Batch.Due > 0 {
		work.left, work.timed = j.due().Sub(now), true
		due := j.entry.Batch.Due.Std()
		work.needed = j.expectedEvents(typical) / due.Seconds() * min(maxAging, max(0, now.Sub(j.submittedAt).Seconds()/due.Seconds()))
	}
	for _, it := range j.items {
		if it.complete || it.state != itemWaiting && it.state != itemRunning {
			continue
		}
		remaining := it.expectedEvents(typical) - float64(len(it.events))
		if len(it.events) > 0 {
			remaining = max(remaining, minRemainingEvents)
		}
		work.longest = max(work.longest, remaining)
		if it.state == itemRunning {
			work.runningItems++
			work.running += remaining
		} else {
			work.waitingItems++
			work.waiting += remaining
		}
	}
	if work.waitingItems > 0 {
		j.waitedUntil = now
	}
	if work.timed {
		work.waited = j.waitedUntil.Sub(j.submittedAt) > j.entry.Batch.Due.Std()/waitedPart
	}
	return work
}

// expectedEvents returns the expected length of an item's text; typical is the mean over the texts of its model.
func (it *item) expectedEvents(typical float64) float64 { return it.hint * typical }

// expectedEvents returns the expected length of all texts of the job.
func (j *job) expectedEvents(typical float64) float64 {
	total := 0.0
	for _, it := range j.items {
		total += it.expectedEvents(typical)
	}
	return total
}

// poolShares returns the part of the job's work that falls on each pool, by the weights of its route.
func (j *job) poolShares() map[identifier.PoolName]float64 {
	shares := make(map[identifier.PoolName]float64)
	if j.entry.Route == nil {
		return shares
	}
	total := 0.0
	for _, share := range j.entry.Route.Pools {
		if share.Weight > 0 {
			shares[share.Pool] += share.Weight
			total += share.Weight
		}
	}
	for pool := range shares {
		shares[pool] /= total
	}
	return shares
}

// typicalEvents returns the mean length of the complete texts of recent jobs.
func typicalEvents(now time.Time, jobs []*job) float64 {
	events, texts := 0, 0
	for _, j := range jobs {
		if now.Sub(j.submittedAt) > arrivalWindow {
			continue
		}
		for _, it := range j.items {
			if it.complete && len(it.events) > 0 {
				events += len(it.events)
				texts++
			}
		}
	}
	if texts == 0 {
		return defaultEvents
	}
	return float64(events) / float64(texts)
}

// arrivalRate returns the expected events that jobs bring in one second, from the last submissions, which are in order of time. A
// single job brings its events in the time until it is due. A submitter that waits for a late job submits less for that, so the
// time since the last submission counts only while no job is open.
func arrivalRate(now time.Time, jobs []*job, typical float64, open bool) float64 {
	recent := slices.DeleteFunc(slices.Clone(jobs), func(j *job) bool { return now.Sub(j.submittedAt) > arrivalWindow })
	recent = recent[max(0, len(recent)-arrivalJobs):]
	if len(recent) == 0 {
		return 0
	}
	total := 0.0
	for _, j := range recent {
		total += j.expectedEvents(typical)
	}
	first, last := recent[0], recent[len(recent)-1]
	length := last.due().Sub(last.submittedAt)
	if span := last.submittedAt.Sub(first.submittedAt); span > 0 {
		// n jobs take n intervals, of which the last one has not passed yet.
		length = span * time.Duration(len(recent)) / time.Duration(len(recent)-1)
	}
	if !open {
		length = max(length, now.Sub(first.submittedAt))
	}
	return total / max(length, minInterval).Seconds()
}

// late reports whether a job is late, or will be, for want of engines: items wait, and the runs of the jobs, which generate an event
// in each typical interval, are too few; or its longest text will not be complete in time after items waited. Jobs get engines in the
// order in which they are due.
func (b *Batcher) late(now time.Time, works []jobWork) bool {
	typical := b.typicalInterval(now).Seconds()
	running := 0
	for _, work := range works {
		running += work.runningItems
	}
	works = slices.Clone(works)
	slices.SortFunc(works, func(x, y jobWork) int { return cmp.Compare(x.left, y.left) })
	before := 0.0
	for _, work := range works {
		before += work.waiting + work.running
		if !work.timed {
			continue
		}
		left := work.left.Seconds()
		tooFew := work.waitingItems > 0 && (left <= 0 || running > 0 && before*typical > float64(running)*left)
		if tooFew || work.waited && work.longest*typical > left {
			return true
		}
	}
	return false
}

// Demand returns the demand of the open jobs that this host owns, as far as their pools are divided by it.
func (d *Driver) Demand() []codec.ModelDemand {
	always := make(map[identifier.PoolName]bool)
	for _, pool := range d.config.Catalogue.Current().Pools {
		if pool.Autoscale != nil {
			always[pool.Name] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.owned) == 0 {
		return nil
	}
	return d.machine.Demand(time.Now(), always)
}
