package admit_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
)

// The replays drive admission and the pools of three stages with the load of a whole desk, in simulated time. Targets keep
// results as they do in reality, up to their capacity and for their TTL. The replays leave out networks and engines: the
// response begins a fixed time after the last stage.

const (
	replayStep      = 5 * time.Millisecond
	forecastDelay   = 100 * time.Millisecond // age of the forecasts that daemons decide by
	engineTime      = 150 * time.Millisecond // from the last stage to the beginning of the response
	stageRetryAfter = 500 * time.Millisecond // of a request whose stage was late
	maxReturnShare  = 1.0 / 3                // callers follow Retry-After up to this share of the time that they have left
	replayLength    = 30 * time.Second
	replayWarmUp    = 3 * time.Second
	requestJitter   = 0.15 // spread of the time that callers state
	callTimeSpread  = 0.05 // spread of the time of calls
	smallBytes      = 8000
	largeBytes      = 1_500_000
	transferredKind = 60_000
	crashReturn     = 300 * time.Millisecond // spread of the returns of callers whose connections broke
)

// desk is a deployment: its stages and its routes with their usual load.
type desk struct {
	services map[string]core.BatchSpec
	targets  map[string]int // by service
	routes   []deskRoute
	crashAt  time.Duration // all daemons crash then; 0 means never
	downFor  time.Duration // time until new daemons serve

	engineTime time.Duration // from the last stage to the beginning of the response; 0 means the constant
}

type deskRoute struct {
	core.Route
	perSecond   float64
	worth, late float64 // worth of a response in time, and of a late one
	pieces      []pieceCount
}

// pieceCount is the distribution of the pieces of one stage: a share of the requests has any.
type pieceCount struct{ share, mean float64 }

func (count pieceCount) draw(random *rand.Rand) int {
	if random.Float64() >= count.share {
		return 0
	}
	return max(int(math.Round(count.mean*(0.6+0.8*random.Float64()))), 1)
}

func batchSpec(pieces int, pieceTime time.Duration, resultBytes int64) core.BatchSpec {
	return core.BatchSpec{MaxPieces: pieces, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: pieceTime, MaxResultBytes: resultBytes, ResultTTL: 4 * time.Second}
}

// chain returns the stages of a route: one large result beside a chain of three stages, or one of the two.
func chain(large, long bool) []core.StageSpec {
	var stages []core.StageSpec
	if large {
		stages = append(stages, core.StageSpec{Service: "stock", ResultBytes: largeBytes})
	}
	if long {
		first := len(stages)
		stages = append(stages, core.StageSpec{Service: "stock", ResultBytes: smallBytes},
			core.StageSpec{Service: "billing", After: []int{first}, ResultBytes: transferredKind},
			core.StageSpec{Service: "freight", After: []int{first + 1}, ResultBytes: 6000})
	}
	return stages
}

// smallDesk is a desk whose longest chain takes most of its latency objective, with five targets for each stage.
func smallDesk() desk {
	return desk{
		targets: map[string]int{"stock": 5, "billing": 5, "freight": 5},
		services: map[string]core.BatchSpec{
			"stock":   batchSpec(12, 14*time.Millisecond, 27_000_000),
			"billing": batchSpec(36, 4800*time.Microsecond, 4_700_000),
			"freight": batchSpec(58, 3*time.Millisecond, 780_000),
		},
		routes: []deskRoute{
			{core.Route{Name: "summary", Priority: 1, Timeout: 6 * time.Second, LatencyObjective: time.Second, Stages: chain(true, false)}, 21.3, 3.4, 0.51, []pieceCount{{0.7, 2.5}}},
			{core.Route{Name: "check", Priority: 0, Timeout: 6 * time.Second, LatencyObjective: 1800 * time.Millisecond, Stages: chain(false, true)}, 24.3, 2, 0.3, []pieceCount{{1, 1}, {1, 6}, {1, 10}}},
			{core.Route{Name: "chat", Priority: 2, Timeout: 20 * time.Second, LatencyObjective: 1700 * time.Millisecond, Stages: chain(true, true)}, 16.2, 0.65, 0.098, []pieceCount{{0.4, 1.5}, {1, 1}, {1, 6}, {1, 10}}},
		},
	}
}

// burst multiplies the load of one route, or of all if it is empty.
type burst struct {
	route    string
	from, to time.Duration
	factor   float64
}

// visit is one request of a caller with its attempts.
type visit struct {
	route        *deskRoute
	arrivedAt    time.Time
	limit        time.Duration // time that the caller has in all
	pieces       []int
	attempts     int
	plan         admit.Plan
	softDeadline time.Time
	deadline     time.Time
	submitted    []bool
	done         []bool
	respondedAt  time.Time
	refusedAt    time.Time // of the last attempt
	failed       bool
	crashed      bool // in progress when the daemons crashed
}

type jobKey struct {
	service string
	id      batch.JobID
}

type jobOwner struct {
	visit *visit
	stage int
}

type replay struct {
	desk      desk
	random    *rand.Rand
	now       time.Time
	pools     map[string]*batch.Pool
	running   []runningBatch
	jobs      map[jobKey]jobOwner
	forecasts map[string][]timedForecast
	returns   []returning
	door      admit.Door
	visits    []*visit
	held      map[*visit][]string      // handles to free when the response begins
	attempts  map[string]jobOwner      // by the attempt of the job
	targets   map[string]*replayTarget // by address
	calls     int                      // keeps handles unique
}

// replayTarget is the state of a target that outlives its daemons.
type replayTarget struct {
	busyUntil time.Time
	results   map[string]storedResult // by handle
}

type storedResult struct {
	bytes   int64
	expires time.Time
}

type runningBatch struct {
	service string
	call    batch.Call
	ends    time.Time
	results []core.PieceResult // once the target has begun the call
	lost    bool               // its daemon has crashed
}

type timedForecast struct {
	at       time.Time
	forecast batch.Forecast
}

type returning struct {
	at    time.Time
	visit *visit
}

var replayStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// run replays a load on a desk and returns all requests that arrived after the warm-up.
func run(desk desk, bursts []burst, seed uint64) []*visit {
	replay := &replay{
		desk: desk, random: rand.New(rand.NewPCG(seed, 7)), now: replayStart, pools: map[string]*batch.Pool{}, jobs: map[jobKey]jobOwner{},
		forecasts: map[string][]timedForecast{}, held: map[*visit][]string{}, attempts: map[string]jobOwner{},
		targets: map[string]*replayTarget{},
	}
	replay.door.Random = replay.random
	replay.startPools()
	for replay.now.Before(replayStart.Add(replayLength + 21*time.Second)) {
		replay.step(bursts)
		if elapsed := replay.now.Sub(replayStart); desk.crashAt > 0 && elapsed >= desk.crashAt && elapsed < desk.crashAt+replayStep {
			replay.crash()
		}
	}
	return slices.DeleteFunc(replay.visits, func(visit *visit) bool { return visit.arrivedAt.Before(replayStart.Add(replayWarmUp)) })
}

// startPools creates the pools of new daemons.
func (replay *replay) startPools() {
	for service, spec := range replay.desk.services {
		pool := batch.New(spec)
		var targets []batch.Target
		for i := range replay.desk.targets[service] {
			target := batch.Target{ID: fmt.Sprint(service, i), Address: fmt.Sprint(service, i)}
			targets = append(targets, target)
			if replay.targets[target.Address] == nil {
				replay.targets[target.Address] = &replayTarget{results: map[string]storedResult{}}
			}
		}
		pool.SetTargets(targets)
		replay.pools[service] = pool
	}
}

// crash ends all daemons and starts new ones: requests in progress are lost, targets finish their calls, and nobody frees
// the results. Callers may resume a request of the most urgent route.
func (replay *replay) crash() {
	for _, visit := range replay.visits {
		if visit.respondedAt.IsZero() && !visit.failed && visit.submitted != nil {
			visit.submitted, visit.done, visit.failed, visit.crashed = nil, nil, true, true
			if visit.route.Priority == 0 && visit.attempts < 2 {
				visit.failed = false
				replay.returns = append(replay.returns, returning{replay.now.Add(replay.desk.downFor + time.Duration(replay.random.Float64()*float64(crashReturn))), visit})
			}
		}
	}
	for i := range replay.running {
		replay.running[i].lost = true
	}
	clear(replay.jobs)
	clear(replay.held)
	replay.door = admit.Door{Random: replay.random}
	clear(replay.forecasts)
	replay.startPools()
}

// free frees results at their targets and in the pools.
func (replay *replay) freeResults(handles []string) {
	for _, pool := range replay.pools {
		pool.Free(handles)
	}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		delete(replay.targets[address].results, handle)
	}
}

// freeBytes returns the free result capacity of a target.
func (replay *replay) freeBytes(service, address string) int64 {
	free := replay.desk.services[service].MaxResultBytes
	for handle, result := range replay.targets[address].results {
		if result.expires.Before(replay.now) {
			delete(replay.targets[address].results, handle)
			continue
		}
		free -= result.bytes
	}
	return free
}

func (replay *replay) step(bursts []burst) {
	replay.now = replay.now.Add(replayStep)
	elapsed := replay.now.Sub(replayStart)
	for i := range replay.desk.routes {
		route := &replay.desk.routes[i]
		rate := route.perSecond
		for _, burst := range bursts {
			if elapsed >= burst.from && elapsed < burst.to && (burst.route == "" || burst.route == route.Name) {
				rate *= burst.factor
			}
		}
		if elapsed < replayLength && replay.random.Float64() < rate*replayStep.Seconds() {
			replay.arrive(route)
		}
	}
	due := replay.returns
	replay.returns = nil
	for _, returning := range due {
		if returning.at.After(replay.now) {
			replay.returns = append(replay.returns, returning)
		} else {
			replay.attempt(returning.visit)
		}
	}
	replay.finishCalls()
	for _, service := range []string{"stock", "billing", "freight"} {
		replay.dispatch(service)
		if elapsed%(50*time.Millisecond) == 0 {
			replay.forecasts[service] = append(replay.forecasts[service], timedForecast{replay.now, replay.pools[service].Forecast(replay.now)})
		}
	}
	for visit, handles := range replay.held {
		if !visit.respondedAt.IsZero() && !visit.respondedAt.After(replay.now) {
			replay.freeResults(handles)
			delete(replay.held, visit)
		}
	}
}

func (replay *replay) arrive(route *deskRoute) {
	visit := &visit{route: route, arrivedAt: replay.now, limit: time.Duration(float64(route.Timeout) * (1 - requestJitter*replay.random.Float64()))}
	for _, count := range route.pieces {
		visit.pieces = append(visit.pieces, count.draw(replay.random))
	}
	replay.visits = append(replay.visits, visit)
	replay.attempt(visit)
}

func (replay *replay) forecast(service string) batch.Forecast {
	known := replay.forecasts[service]
	for i := len(known) - 1; i >= 0; i-- {
		if replay.now.Sub(known[i].at) >= forecastDelay {
			return known[i].forecast
		}
	}
	spec := replay.desk.services[service]
	return batch.Forecast{Capacity: float64(replay.desk.targets[service]), Call: spec.CallOverhead + spec.PieceTime*time.Duration(spec.MaxPieces)/2}
}

// attempt is one attempt of a caller: it is admitted, or its caller retries once.
func (replay *replay) attempt(visit *visit) {
	visit.attempts++
	if elapsed := replay.now.Sub(replayStart); replay.desk.crashAt > 0 && elapsed >= replay.desk.crashAt && elapsed < replay.desk.crashAt+replay.desk.downFor {
		wait := replay.desk.crashAt + replay.desk.downFor - elapsed + time.Duration(replay.random.Float64()*float64(crashReturn))
		replay.returns = append(replay.returns, returning{replay.now.Add(wait), visit}) // no daemon accepts connections
		return
	}
	timeLeft := visit.arrivedAt.Add(visit.limit).Sub(replay.now)
	soft := visit.arrivedAt.Add(visit.route.LatencyObjective)
	request := admit.Request{
		Route: visit.route.Name, TimeToFirstEvent: cmp.Or(replay.desk.engineTime, engineTime), SoftTimeLeft: soft.Sub(replay.now), TimeLeft: timeLeft, Priority: visit.route.Priority,
		Returning: visit.attempts > 1,
	}
	for i, spec := range visit.route.Stages {
		service := replay.desk.services[spec.Service]
		request.Stages = append(request.Stages, admit.Stage{
			Spec: spec, Pieces: visit.pieces[i], PieceTime: service.CallOverhead/time.Duration(service.MaxPieces) + service.PieceTime,
			Forecast: replay.forecast(spec.Service), ForecastFresh: true,
		})
	}
	visit.plan = admit.Forecast(request)
	decision := replay.door.Decide(replay.now, request)
	if !decision.Admit {
		replay.refuse(visit, decision.RetryAfter)
		return
	}
	visit.softDeadline, visit.deadline = soft, replay.now.Add(timeLeft)
	visit.submitted, visit.done = make([]bool, len(visit.route.Stages)), make([]bool, len(visit.route.Stages))
	replay.advance(visit)
}

func (replay *replay) refuse(visit *visit, retryAfter time.Duration) {
	visit.refusedAt = replay.now
	timeLeft := visit.arrivedAt.Add(visit.limit).Sub(replay.now)
	wait := min(retryAfter, time.Duration(float64(timeLeft)*maxReturnShare))
	if visit.attempts >= 2 || timeLeft <= wait {
		visit.failed = true
		return
	}
	replay.returns = append(replay.returns, returning{replay.now.Add(wait), visit})
}

// advance submits the stages whose inputs are there, and ends the request after the last one.
func (replay *replay) advance(visit *visit) {
	all := true
	for i, stage := range visit.route.Stages {
		ready := !slices.ContainsFunc(stage.After, func(dependency int) bool { return !visit.done[dependency] })
		switch {
		case visit.done[i]:
		case ready && visit.pieces[i] == 0:
			visit.done[i] = true
			replay.advance(visit)
			return
		case ready && !visit.submitted[i]:
			visit.submitted[i] = true
			attempt := fmt.Sprint(len(replay.attempts))
			replay.attempts[attempt] = jobOwner{visit, i}
			id := replay.pools[stage.Service].Submit(batch.Job{
				Attempt: attempt, Stage: i, Pieces: visit.pieces[i], ResultBytes: stage.ResultBytes, Class: fmt.Sprint(visit.route.Name, i), Priority: visit.route.Priority, LastAttempt: visit.attempts > 1,
				SoftDeadline: visit.softDeadline.Add(-visit.plan.Remaining[i]), Deadline: visit.deadline.Add(-visit.plan.Remaining[i] / 2),
			})
			replay.jobs[jobKey{stage.Service, id}] = jobOwner{visit, i}
			all = false
		default:
			all = false
		}
	}
	if all && visit.respondedAt.IsZero() {
		visit.respondedAt = replay.now.Add(cmp.Or(replay.desk.engineTime, engineTime))
	}
}

func (replay *replay) dispatch(service string) {
	calls, ended, unused := replay.pools[service].Dispatch(replay.now)
	replay.end(service, ended)
	replay.freeResults(unused)
	spec := replay.desk.services[service]
	for _, call := range calls {
		target := replay.targets[call.Target.Address]
		begins := replay.now
		if target.busyUntil.After(begins) {
			begins = target.busyUntil // behind the call of a daemon that has crashed
		}
		took := spec.CallOverhead
		free := replay.freeBytes(service, call.Target.Address)
		replay.calls++
		var results []core.PieceResult
		for i, piece := range call.Pieces {
			factor := 1.0
			owner := replay.attempts[piece.Attempt]
			bytes := owner.visit.route.Stages[owner.stage].ResultBytes
			if free < bytes {
				results = append(results, core.PieceResult{Fault: core.PieceNoRoom})
				continue
			}
			free -= bytes
			if service == "stock" && bytes == smallBytes {
				factor = 0.3
			}
			took += time.Duration(float64(spec.PieceTime) * factor)
			handle := fmt.Sprintf("%s/%d-%d", call.Target.Address, replay.calls, i)
			results = append(results, core.PieceResult{Handle: handle})
			target.results[handle] = storedResult{bytes, replay.now.Add(time.Hour)}
		}
		took = time.Duration(float64(took) * (1 + callTimeSpread*(2*replay.random.Float64()-1)))
		target.busyUntil = begins.Add(took)
		replay.running = append(replay.running, runningBatch{service: service, call: call, ends: target.busyUntil, results: results})
	}
}

func (replay *replay) finishCalls() {
	running := replay.running
	replay.running = nil
	for _, flight := range running {
		if flight.ends.After(replay.now) {
			replay.running = append(replay.running, flight)
			continue
		}
		target := replay.targets[flight.call.Target.Address]
		for _, result := range flight.results {
			if stored, found := target.results[result.Handle]; found {
				target.results[result.Handle] = storedResult{stored.bytes, replay.now.Add(replay.desk.services[flight.service].ResultTTL)}
			}
		}
		if flight.lost {
			continue
		}
		ended, unused := replay.pools[flight.service].Finish(replay.now, flight.call.ID, batch.Responded, flight.results)
		replay.freeResults(unused)
		replay.end(flight.service, ended)
	}
}

func (replay *replay) end(service string, ended []batch.Result) {
	for _, result := range ended {
		key := jobKey{service, result.Job}
		owner, found := replay.jobs[key]
		if !found {
			replay.freeResults(result.Handles) // the request was refused meanwhile
			continue
		}
		delete(replay.jobs, key)
		visit := owner.visit
		if result.Fault != core.PieceDone {
			replay.drop(visit)
			replay.refuse(visit, stageRetryAfter)
			continue
		}
		visit.done[owner.stage] = true
		replay.free(visit, owner.stage)
		replay.held[visit] = append(replay.held[visit], result.Handles...)
		replay.advance(visit)
	}
}

// free frees the results of a stage that only the given later stage needed.
func (replay *replay) free(visit *visit, stage int) {
	if len(visit.route.Stages[stage].After) == 0 {
		return
	}
	replay.freeResults(replay.held[visit])
	delete(replay.held, visit)
}

// drop cancels what is left of a request.
func (replay *replay) drop(visit *visit) {
	for key, owner := range replay.jobs {
		if owner.visit == visit {
			replay.freeResults(replay.pools[key.service].Cancel(key.id))
			delete(replay.jobs, key)
		}
	}
	replay.freeResults(replay.held[visit])
	delete(replay.held, visit)
	visit.submitted, visit.done = nil, nil
}

// tally is what the callers of one route, or of all, got.
type tally struct {
	asked, inTime, late, refused int
	worth, owed                  float64
}

func (tally tally) String() string {
	return fmt.Sprintf("%5d asked, %5d in time, %4d late, %4d refused, worth %.3f", tally.asked, tally.inTime, tally.late, tally.refused, tally.worth/tally.owed)
}

// tallies returns the tally of each route by name, and that of all under the empty name.
func tallies(visits []*visit) map[string]*tally {
	sums := map[string]*tally{"": {}}
	for _, visit := range visits {
		if sums[visit.route.Name] == nil {
			sums[visit.route.Name] = &tally{}
		}
		for _, sum := range []*tally{sums[""], sums[visit.route.Name]} {
			sum.asked++
			sum.owed += visit.route.worth
			switch {
			case visit.respondedAt.IsZero() || visit.failed:
				sum.refused++
			case visit.respondedAt.Sub(visit.arrivedAt) <= visit.route.LatencyObjective:
				sum.inTime++
				sum.worth += visit.route.worth
			default:
				sum.late++
				sum.worth += visit.route.late
			}
		}
	}
	return sums
}

// runSeeds adds up the tallies of several seeds.
func runSeeds(desk desk, bursts []burst, seeds uint64) map[string]*tally {
	var visits []*visit
	for seed := range seeds {
		visits = append(visits, run(desk, bursts, seed)...)
	}
	return tallies(visits)
}

// withTargets returns a copy of the desk with that many targets for a service.
func (desk desk) withTargets(service string, count int) desk {
	desk.targets = maps.Clone(desk.targets)
	desk.targets[service] = count
	return desk
}

// TestReplays guards against callers that are turned away for good, or served late, under load that the targets can carry.
//
// The goals: on a calm day everybody is served in time. In a burst at about the capacity of a stage fewer than 1 in 100 are
// turned away for good, and with two fifths of the targets of a stage lost as well, 3 in 100, or 5 when all routes burst and
// the load is beyond the capacity; the most urgent route is served in time in 95 of 100 cases; no route is served less than
// half as often as all.
func TestReplays(t *testing.T) {
	for _, test := range []struct {
		name      string
		bursts    []burst
		stock     int
		mayRefuse float64
	}{
		{"calm", nil, 5, 0},
		{"calm with two targets lost", nil, 3, 0},
		{"burst of the most urgent route", []burst{{"check", 5 * time.Second, 11 * time.Second, 2.5}}, 5, 0.01},
		{"burst of the most urgent route with two targets lost", []burst{{"check", 5 * time.Second, 11 * time.Second, 2.5}}, 3, 0.03},
		{"burst of a route with large results", []burst{{"summary", 5 * time.Second, 11 * time.Second, 2.5}}, 5, 0.01},
		{"burst of a route with large results with two targets lost", []burst{{"summary", 5 * time.Second, 11 * time.Second, 2.5}}, 3, 0.03},
		{"burst of the least urgent route", []burst{{"chat", 5 * time.Second, 11 * time.Second, 3}}, 5, 0.01},
		{"burst of the least urgent route with two targets lost", []burst{{"chat", 5 * time.Second, 11 * time.Second, 3}}, 3, 0.03},
		{"burst of all", []burst{{"", 5 * time.Second, 11 * time.Second, 1.8}}, 5, 0.01},
		{"burst of all with two targets lost", []burst{{"", 5 * time.Second, 11 * time.Second, 1.8}}, 3, 0.05},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			sums := runSeeds(smallDesk().withTargets("stock", test.stock), test.bursts, 3)
			all := sums[""]
			for name, sum := range sums {
				t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
				if share := float64(sum.asked - sum.refused); share/float64(sum.asked) < float64(all.asked-all.refused)/float64(all.asked)/2 {
					t.Errorf("route %s is served less than half as often as all", name)
				}
			}
			if refused := float64(all.refused) / float64(all.asked); refused > test.mayRefuse {
				t.Errorf("%.4f of the requests are turned away for good, goal %.2f", refused, test.mayRefuse)
			}
			if inTime := float64(sums["check"].inTime) / float64(sums["check"].asked); inTime < 0.95 {
				t.Errorf("%.4f of the requests of the most urgent route are in time, goal 0.95", inTime)
			}
			if test.bursts == nil && all.late > all.asked/1000 {
				t.Errorf("%d of %d requests are late on a calm day", all.late, all.asked)
			}
		})
	}
}
