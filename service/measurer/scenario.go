package measurer

import (
	"fmt"
	"time"

	"celerygap.example/service/scheduler"
)

// Policy selects how steps are scheduled.
type Policy string

// The policies.
const (
	// Synchronous is the baseline: it generates a complete step before the trainer trains on it, and nothing ahead.
	Synchronous Policy = "synchronous"
	// RunAhead is the scheduler of the service, which generates steps ahead within the staleness bound.
	RunAhead Policy = "run ahead"
)

// Condition selects the load and the faults of a run.
type Condition string

// The conditions.
const (
	Calm     Condition = "calm"
	Overload Condition = "1.5 times capacity"
	Crashes  Condition = "engine crash each minute"
)

// The load of a condition: the generation work of all trainers, if they never wait, over the capacity of the engines.
const (
	calmLoad     = 0.7
	overloadLoad = 1.5
)

// Deployment has the sizes and the trainer settings of one deployment; Bound is the staleness bound in weight versions.
type Deployment struct {
	Name       string
	Engines    int
	Trainers   int
	Groups     int
	GroupSize  int
	Bound      int64
	IdleWeight float64
}

// Deployments are the two deployments in production.
var Deployments = []Deployment{
	{Name: "Sarea Drumului", Engines: 9, Trainers: 3, Groups: 48, GroupSize: 8, Bound: 2, IdleWeight: 0.9},
	{Name: "Golvmosaik", Engines: 9, Trainers: 1, Groups: 96, GroupSize: 8, Bound: 2, IdleWeight: 0.4},
}

// Conditions are the conditions under which each policy is measured.
var Conditions = []Condition{Calm, Overload, Crashes}

func (d Deployment) settings() scheduler.Settings {
	return scheduler.Settings{
		ModelEntry: "model", ScorerEntry: "scorer", StalenessBound: d.Bound, IdleWeight: d.IdleWeight, MaxTokens: maxLength, Share: 1,
	}
}

// Scenario is one row of the tables.
type Scenario struct {
	Deployment Deployment
	Condition  Condition
	Policy     Policy
	Placement  Placement
	// HonourSeeds makes each attempt of a slot draw the same length, as engines that honour the request's seed do.
	HonourSeeds bool
	// Steps is the number of measured steps of each trainer.
	Steps int
}

// Name identifies the scenario in messages.
func (s Scenario) Name() string {
	return fmt.Sprintf("%s, %s, %s, %s", s.Deployment.Name, s.Condition, s.Policy, s.Placement)
}

// trainingTime returns the training time of a step with which the engines have the load of the condition.
func (s Scenario) trainingTime() time.Duration {
	load := calmLoad
	if s.Condition == Overload {
		load = overloadLoad
	}
	samples := s.Deployment.Trainers * s.Deployment.Groups * s.Deployment.GroupSize
	work := float64(samples) * meanLength() / (float64(s.Deployment.Engines) * tokensPerSecond())
	return time.Duration(work / load * float64(time.Second))
}
