package batcher_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

// playConfig describes a load of several owners that share engines without seeing each other's runs.
type playConfig struct {
	seed uint64
	// figures is the number of load figures that engines state: 4, or 3 as for the former decision, or 0.
	figures int
	// slowest and fastest bound the lasting time per event of an engine in relation to the usual one.
	fastest, slowest float64
	// phases lets a quarter of the engines turn 2.5 to 4 times slower for 8 s, every 20 s.
	phases bool
	length time.Duration
	// live is the number of live requests a second.
	live float64
}

const (
	playEngines = 38
	playSlots   = 6
	playQueue   = 18
	playEvent   = 30 * time.Millisecond
	playDue     = 7500 * time.Millisecond
	playStep    = 4 * time.Second
	sharedPart  = 1500
	ownPart     = 300
	readPerMs   = 500
	// tokensPerEvent is the number of tokens of one event.
	tokensPerEvent = 80
)

type agendaEvent struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []agendaEvent

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(agendaEvent)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type playRequest struct {
	begin func()
	gone  bool
}

type playServer struct {
	host      codec.ListedHost
	lasting   float64
	slowUntil time.Time
	slow      float64
	running   int
	queue     []*playRequest
	kept      []string
}

type playOwner struct {
	b    *batcher.Batcher
	runs map[batcher.RunID]*playRun
}

type playRun struct {
	start   batcher.StartRun
	owner   *playOwner
	server  *playServer
	request *playRequest
	running bool
	ended   bool
}

type play struct {
	config  playConfig
	random  *rand.Rand
	now     time.Time
	start   time.Time
	agenda  agenda
	seq     int
	servers map[identifier.UpstreamID]*playServer
	list    []*playServer
	owners  []*playOwner
	lengths map[identifier.ItemID]int
	// left counts the unfinished items of each group; readBy the engines that have read its shared part.
	left   map[string]int
	readBy map[string]bool
	steps  map[identifier.BatchID]*playStepState
	result playResult
}

type playStepState struct {
	opened time.Time
	groups []float64
	total  int
}

func (p *play) in(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.agenda, agendaEvent{p.now.Add(d), p.seq, do})
}

// factor returns the time per event of a server in relation to the usual one. For 15% of the time it is up to 2.5 times as long.
func (p *play) factor(s *playServer) float64 {
	f := s.lasting
	if p.now.Before(s.slowUntil) {
		f *= s.slow
	}
	window := uint64(p.now.Sub(p.start) / (600 * time.Millisecond))
	r := rand.New(rand.NewPCG(p.config.seed*1000+window, uint64(slices.Index(p.list, s))))
	if r.Float64() < 0.15 {
		f *= 1 + 1.5*r.Float64()
	}
	return f
}

func (p *play) load(s *playServer) codec.LoadReport {
	report := codec.LoadReport{Running: s.running, Queued: len(s.queue), Slots: playSlots, ReportedAt: p.now}
	if p.config.figures == 4 {
		report.Slowness = math.Round(100*p.factor(s)) / 100
	}
	return report
}

// arrive returns false if the server rejects the request.
func (p *play) arrive(s *playServer, request *playRequest) bool {
	if s.running < playSlots {
		s.running++
		p.in(0, request.begin)
		return true
	}
	if len(s.queue) >= playQueue {
		return false
	}
	s.queue = append(s.queue, request)
	return true
}

func (p *play) leave(s *playServer) {
	s.running--
	for len(s.queue) > 0 && s.running < playSlots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if next.gone {
			continue
		}
		s.running++
		p.in(0, next.begin)
	}
}

func (p *play) handle(o *playOwner, event batcher.Event) {
	for _, command := range o.b.Handle(p.now, event) {
		switch c := command.(type) {
		case batcher.StartRun:
			r := &playRun{start: c, owner: o, server: p.servers[c.Engine.ID]}
			o.runs[c.Run] = r
			p.in(time.Millisecond, func() { p.send(r) })
		case batcher.StopRun:
			r := o.runs[c.Run]
			if c.Reason == batcher.StopSlowEngine || c.Reason == batcher.StopStalled {
				p.result.cut++
			}
			p.in(0, func() {
				p.end(r, &connector.UpstreamError{Failure: connector.FailureCancelled, Err: fmt.Errorf("stopped")})
			})
		case batcher.Append:
			p.in(time.Millisecond, func() { p.handle(o, batcher.Appended{Job: c.Job}) })
		case batcher.SaveTexts:
			p.in(time.Millisecond, func() { p.handle(o, batcher.TextsSaved{Job: c.Job}) })
		}
	}
}

func (p *play) send(r *playRun) {
	if r.ended {
		return
	}
	p.result.arrivals++
	r.request = &playRequest{begin: func() { p.begin(r) }}
	accepted := p.arrive(r.server, r.request)
	load := p.load(r.server)
	p.in(time.Millisecond, func() {
		if p.config.figures > 0 {
			p.handle(r.owner, batcher.LoadReported{Engine: r.start.Engine.ID, Load: load})
		}
		if !accepted {
			p.result.rejected++
			p.end(r, &connector.UpstreamError{Failure: connector.FailureNotStarted, Err: fmt.Errorf("full")})
		}
	})
}

func (p *play) begin(r *playRun) {
	if r.ended {
		p.leave(r.server)
		return
	}
	r.running = true
	group := string(r.start.Job) + string(r.start.Item.Group)
	tokens := float64(ownPart) + float64(r.start.After)
	if i := slices.Index(r.server.kept, group); i < 0 {
		tokens += sharedPart
		r.server.kept = append(r.server.kept, group)
		if len(r.server.kept) > 32 {
			r.server.kept = r.server.kept[1:]
		}
		if p.readBy[group] {
			p.result.readAgain += sharedPart
		}
		p.readBy[group] = true
	}
	p.result.read += tokens
	p.in(time.Duration(tokens/readPerMs*float64(time.Millisecond)), func() { p.generate(r, r.start.After+1) })
}

func (p *play) generate(r *playRun, number identifier.EventNumber) {
	interval := time.Duration(p.factor(r.server) * (0.8 + 0.4*p.random.Float64()) * float64(playEvent))
	p.in(interval, func() {
		if r.ended {
			return
		}
		p.handle(r.owner, batcher.EventReceived{Run: r.start.Run, Event: connector.RunEvent{Number: number, Data: "e", Version: 2}})
		if int(number) >= p.lengths[r.start.Item.ID] {
			p.end(r, nil)
			return
		}
		p.generate(r, number+1)
	})
}

func (p *play) end(r *playRun, err error) {
	if r.ended {
		return
	}
	r.ended = true
	if r.running {
		p.leave(r.server)
	} else if r.request != nil {
		r.request.gone = true
		r.server.queue = slices.DeleteFunc(r.server.queue, func(q *playRequest) bool { return q == r.request })
	}
	delete(r.owner.runs, r.start.Run)
	p.handle(r.owner, batcher.RunEnded{Run: r.start.Run, Err: err})
	if err != nil {
		return
	}
	group := string(r.start.Job) + string(r.start.Item.Group)
	p.left[group]--
	if step := p.steps[r.start.Job]; p.left[group] == 0 {
		took := p.now.Sub(step.opened)
		step.groups = append(step.groups, took.Seconds())
		if took > playDue {
			p.result.late++
		}
	}
}

func (p *play) openStep(trainer, number int) {
	o := p.owners[trainer]
	id := identifier.BatchID(fmt.Sprint("t", trainer, "s", number))
	count := []int{96, 112, 120}[trainer] / 8
	job := codec.BatchJob{ID: id, Model: identifier.ModelName(fmt.Sprint("m", trainer)), MinVersion: 1}
	for g := range count {
		group := identifier.GroupID(fmt.Sprint("g", g))
		p.left[string(id)+string(group)] = 8
		for i := range 8 {
			item := codec.BatchItem{ID: identifier.ItemID(fmt.Sprint(id, "-", g, "-", i)), Path: "/p", Group: group, Tokens: sharedPart + ownPart}
			length := min(200, max(5, 60*math.Exp(0.5*p.random.NormFloat64())))
			// Submitters expect tokens, of which an event holds many.
			item.ExpectedTokens = identifier.Tokens(max(1, tokensPerEvent*length*math.Exp(0.5*p.random.NormFloat64())))
			p.lengths[item.ID] = int(length)
			job.Items = append(job.Items, item)
		}
	}
	p.result.groups += count
	p.result.items += len(job.Items)
	p.steps[id] = &playStepState{opened: p.now, total: count}
	p.handle(o, batcher.JobOpened{Job: job, SubmittedAt: p.now})
	entries := make(map[identifier.BatchID]codec.Entry)
	for open := range p.steps {
		entries[open] = codec.Entry{
			Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{Due: identifier.Duration(playDue)},
			Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
		}
	}
	p.handle(o, batcher.RoutesChanged{Entries: entries})
	p.in(2*playDue, func() {
		step := p.steps[id]
		p.result.late += step.total - len(step.groups)
		for len(step.groups) < step.total {
			step.groups = append(step.groups, 2*playDue.Seconds())
		}
		slices.Sort(step.groups)
		p.result.nine = append(p.result.nine, step.groups[(len(step.groups)*9+9)/10-1])
		delete(p.steps, id)
		p.handle(o, batcher.JobDropped{Job: id})
	})
}

func (p *play) liveRequest() {
	s := p.list[p.random.IntN(len(p.list))]
	other := p.list[p.random.IntN(len(p.list))]
	if other.running+len(other.queue) < s.running+len(s.queue) {
		s = other
	}
	length := 40 * math.Exp(0.5*p.random.NormFloat64())
	p.arrive(s, &playRequest{begin: func() {
		p.in(time.Duration(length*p.factor(s)*float64(playEvent)), func() { p.leave(s) })
	}})
	p.in(time.Duration(p.random.ExpFloat64()/p.config.live*float64(time.Second)), p.liveRequest)
}

func (p *play) slowPhase() {
	for _, i := range p.random.Perm(len(p.list))[:len(p.list)/4] {
		p.list[i].slow = 2.5 + 1.5*p.random.Float64()
		p.list[i].slowUntil = p.now.Add(8 * time.Second)
	}
	p.in(20*time.Second, p.slowPhase)
}

func runPlay(config playConfig) playResult {
	start := time.Unix(1000, 0)
	p := &play{
		config: config, random: rand.New(rand.NewPCG(config.seed, 7)), now: start, start: start,
		servers: make(map[identifier.UpstreamID]*playServer), lengths: make(map[identifier.ItemID]int), left: make(map[string]int),
		readBy: make(map[string]bool), steps: make(map[identifier.BatchID]*playStepState),
	}
	var hosts []codec.ListedHost
	for i := range playEngines {
		host := engine(identifier.UpstreamID(fmt.Sprintf("e%02d", i)), 2, playSlots)
		host.Models = nil
		for m := range 3 {
			host.Models = append(host.Models, codec.ModelState{Model: identifier.ModelName(fmt.Sprint("m", m)), Serving: 2})
		}
		s := &playServer{host: host, lasting: config.fastest + (config.slowest-config.fastest)*p.random.Float64()}
		p.servers[host.ID] = s
		p.list = append(p.list, s)
		hosts = append(hosts, host)
	}
	for t := range 3 {
		o := &playOwner{b: batcher.New(batcher.Config{}), runs: make(map[batcher.RunID]*playRun)}
		p.owners = append(p.owners, o)
		p.handle(o, batcher.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
		var tick func()
		tick = func() {
			p.handle(o, batcher.Tick{})
			p.in(50*time.Millisecond, tick)
		}
		p.in(time.Duration(t)*17*time.Millisecond, tick)
		for n := range int(config.length / playStep) {
			p.in(time.Duration(n)*playStep+time.Duration(p.random.Float64()*float64(playStep)/2), func() { p.openStep(t, n) })
		}
	}
	if config.live > 0 {
		p.in(0, p.liveRequest)
	}
	if config.phases {
		p.in(6*time.Second, p.slowPhase)
	}
	end := start.Add(config.length + 2*playDue + playStep)
	for len(p.agenda) > 0 && p.agenda[0].at.Before(end) {
		next := heap.Pop(&p.agenda).(agendaEvent)
		p.now = next.at
		next.do()
	}
	return p.result
}
