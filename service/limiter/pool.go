package limiter

const (
	// minLivePart is the part of a pool's slots that a host's live callers may always use. The load reports do not
	// distinguish live requests from training, and engines run live requests first, so the load of other hosts must not
	// delay live callers for long.
	minLivePart = 0.25
	// growthPerReport is the part of the slots still free for training by which a host's training limit grows with each
	// PoolSized.
	growthPerReport = 0.125
)

// pool holds how much of a pool this host may use, for each class. A limit of zero means that the pool's size is unknown.
type pool struct {
	limits   [numberOfClasses]int
	inFlight [numberOfClasses]int
	waiting  [numberOfClasses]int
}

// resize derives the limits from the pool's slots and its load, which lags. Training of all hosts together stays near or
// below trainingPart of the slots: above it, each host reduces its limit in proportion, and below it each adds the same
// amount, so that the limits of the hosts become equal without messages between them.
func (p *pool) resize(e PoolSized, trainingPart float64) {
	if e.Slots == 0 {
		p.limits = [numberOfClasses]int{}
		return
	}
	slots := float64(e.Slots)
	p.limits[classLive] = max(1, e.Slots-max(0, e.Load-p.taken(classTraining)), int(minLivePart*slots))
	target := trainingPart * slots
	limit := float64(p.limits[classTraining])
	if limit == 0 {
		limit = target
	}
	if load := float64(e.Load); load > target {
		// Only half of the correction is applied: the load is one or two seconds old, so it may not show the effect of the
		// last correction yet, and the same excess would be corrected twice.
		limit *= (1 + target/load) / 2
	} else {
		limit += growthPerReport * (target - load)
	}
	p.limits[classTraining] = max(1, int(min(limit+1, target)))
}

// taken returns the number of running requests that count against the limit of a class. Training does not count against
// that of live callers: the engines run live requests first, so a live request waits there at most for the next free slot,
// while here it would wait until one of this host's own requests ends.
func (p *pool) taken(class int) int {
	if class == classLive {
		return p.inFlight[classLive]
	}
	return p.inFlight[classLive] + p.inFlight[classTraining]
}

func (p *pool) canRun(class int) bool {
	return p.limits[class] == 0 || p.taken(class) < p.limits[class]
}
