package scheduler

import (
	"math"
	"time"
)

const (
	// idleTolerance times (1 - idle_weight) is the share of time that a trainer may wait in exchange for fresher samples.
	idleTolerance = 0.05
	// lowerAfterSteps is the number of steps without waiting after which the depth is lowered.
	lowerAfterSteps = 8
	// holdSteps is the number of steps without waiting that must pass, in addition to lowerAfterSteps, before a depth that
	// made the trainer wait is tried again. With too small a depth the trainer waits as long as the longest generation, so
	// such trials must be rare.
	holdSteps = 64
)

// depth limits the run-ahead: value is how many weight versions a step may start ahead of the trainer's. It is lowered
// while the trainer does not wait, because samples that finish long before they are needed only become staler.
type depth struct {
	limit int64
	value int64
	// stepsWithoutWait counts completed steps for which the trainer did not wait; it is negative while no lower depth is
	// tried.
	stepsWithoutWait int
	completed        time.Time
	idle             time.Duration
}

// limitDepth sets the largest depth to the staleness bound times idle_weight, rounded up. A changed limit also becomes the
// current depth.
func (t *trainer) limitDepth() {
	limit := int64(math.Ceil(float64(t.settings.StalenessBound) * t.settings.IdleWeight))
	if limit == t.depth.limit {
		return
	}
	t.depth.limit = limit
	t.depth.value = limit
	t.depth.stepsWithoutWait = 0
}

// adjustDepth raises or lowers the depth by the share of time that the trainer waited since its last complete step.
func (t *trainer) adjustDepth(now time.Time) {
	cycle := now.Sub(t.depth.completed)
	waited := t.idle - t.depth.idle
	first := t.depth.completed.IsZero()
	t.depth.completed = now
	t.depth.idle = t.idle
	if first || cycle <= 0 {
		return
	}
	if waited.Seconds()/cycle.Seconds() > idleTolerance*(1-t.settings.IdleWeight) {
		t.depth.increase()
		return
	}
	t.depth.stepsWithoutWait++
	if t.depth.stepsWithoutWait >= lowerAfterSteps && t.depth.value > 1 {
		t.depth.value--
		t.depth.stepsWithoutWait = 0
	}
}

func (d *depth) increase() {
	if d.value == d.limit {
		d.stepsWithoutWait = min(d.stepsWithoutWait, 0)
		return
	}
	d.value++
	d.stepsWithoutWait = -holdSteps
}
