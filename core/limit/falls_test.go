package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulatedDaemons = 4
	simulatedTargets = 4
	simulationStep   = 2 * time.Millisecond
	simulationLength = 10 * time.Second
	burstStart       = 3 * time.Second        // the room shrinks without word, and the load rises
	resultDelay      = 100 * time.Millisecond // until the pacing daemon hears of a result
	maxViewAge       = time.Second            // longest time until a daemon sees that the role has moved
)

// brittleTarget is a target that falls over for some seconds when it has to reject more requests in a second than its bound.
type brittleTarget struct {
	ends, rejections []time.Time
	downUntil        time.Time
	falls            int
}

// admit begins to run a request, and reports false if there is no room for it.
func (target *brittleTarget) admit(now time.Time, load brittleLoad) bool {
	room := load.room
	if now.Sub(start) > burstStart {
		room = load.shrunk
	}
	target.ends = slices.DeleteFunc(target.ends, func(end time.Time) bool { return !end.After(now) })
	if len(target.ends) < room {
		target.ends = append(target.ends, now.Add(load.runTime))
		return true
	}
	target.rejections = slices.DeleteFunc(target.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	target.rejections = append(target.rejections, now)
	if len(target.rejections) > load.bound {
		target.falls++
		target.rejections, target.downUntil = nil, now.Add(2*time.Second)
	}
	return false
}

// brittleLoad is the load of a service with brittle targets.
type brittleLoad struct {
	bound, room, shrunk int
	runTime             time.Duration
	late                bool            // the result of a request is known at the end of its run, not at its beginning
	load                float64         // requests per second of the burst; a quarter before
	moves               []time.Duration // times at which another daemon becomes the pacing one
	unused              int             // targets that get their first request in the burst
	silent              time.Duration   // time from its beginning in which the targets read nothing
}

// simulatedAttempt is a request on its way to a target, or back from those that have rejected it.
type simulatedAttempt struct {
	at          time.Time
	sender      int
	rejectedBy  []int
	target      int // -1 before it has a permit
	permittedBy int
}

type simulatedResult struct {
	at             time.Time
	daemon, target int
	results        Results
}

// brittleFleet is the daemons and targets of a simulation.
type brittleFleet struct {
	load    brittleLoad
	random  *rand.Rand
	tables  [simulatedDaemons]Table
	pacing  [simulatedDaemons]int // the pacing daemon in the view of each one
	seesAt  [simulatedDaemons]time.Time
	targets [simulatedTargets]brittleTarget
	results []simulatedResult
	served  int // in the burst
}

func simulatedName(target int) string { return fmt.Sprint("t", target) }

// play returns how often targets fall over, and the share of what load and room allow in the burst that is served.
func (load brittleLoad) play(seed uint64) (falls int, served float64) {
	fleet := &brittleFleet{load: load, random: rand.New(rand.NewPCG(seed, 7))}
	role, moves, attempts := 0, load.moves, []simulatedAttempt(nil)
	for now := start; now.Before(start.Add(simulationLength)); now = now.Add(simulationStep) {
		if len(moves) > 0 && now.Sub(start) >= moves[0] {
			moves, role = moves[1:], (role+1)%simulatedDaemons
			for i := range fleet.seesAt {
				fleet.seesAt[i] = now.Add(time.Duration(fleet.random.Int64N(int64(maxViewAge))))
			}
			fleet.seesAt[role] = now
		}
		rate := load.load / 4
		if now.Sub(start) > burstStart {
			rate = load.load
		}
		fleet.learn(now, role)
		if fleet.random.Float64() < rate*simulationStep.Seconds() {
			attempts = append(attempts, simulatedAttempt{at: now, sender: fleet.random.IntN(simulatedDaemons), target: -1})
		}
		var left []simulatedAttempt
		for _, attempt := range attempts {
			if attempt.at.After(now) || fleet.advance(now, &attempt) {
				left = append(left, attempt)
			}
		}
		attempts = left
	}
	for i := range fleet.targets {
		falls += fleet.targets[i].falls
	}
	allowed := min(float64(simulatedTargets*load.shrunk)/load.runTime.Seconds(), load.load) * (simulationLength - burstStart - load.silent).Seconds()
	return falls, float64(fleet.served) / allowed
}

// usable returns the number of targets that are in use.
func (fleet *brittleFleet) usable(now time.Time) int {
	if now.Sub(start) > burstStart {
		return simulatedTargets
	}
	return simulatedTargets - fleet.load.unused
}

// learn brings the daemons what they know of the role, the targets and the results.
func (fleet *brittleFleet) learn(now time.Time, role int) {
	for i := range fleet.tables {
		if !now.Before(fleet.seesAt[i]) {
			fleet.pacing[i] = role
		}
		for target := range fleet.usable(now) {
			fleet.tables[i].Merge(Evidence{Target: simulatedName(target), Named: true, Brittle: true, Rate: float64(fleet.load.bound), At: now})
		}
	}
	fleet.results = slices.DeleteFunc(fleet.results, func(result simulatedResult) bool {
		if result.at.After(now) {
			return false
		}
		fleet.tables[result.daemon].Count(simulatedName(result.target), result.results)
		fleet.tables[result.daemon].Pace(now, simulatedName(result.target))
		return true
	})
}

// advance moves an attempt on, and reports false at its end.
func (fleet *brittleFleet) advance(now time.Time, attempt *simulatedAttempt) bool {
	if attempt.target < 0 && !fleet.permit(now, attempt) {
		return false
	}
	if attempt.at.After(now) {
		return true
	}
	if resumeAt := start.Add(burstStart + fleet.load.silent); now.After(resumeAt.Add(-fleet.load.silent)) && now.Before(resumeAt) {
		attempt.at = resumeAt
		return true
	}
	target := &fleet.targets[attempt.target]
	if now.Before(target.downUntil) {
		return false
	}
	result := simulatedResult{at: now.Add(resultDelay), daemon: attempt.permittedBy, target: attempt.target, results: Results{Rejected: 1}}
	admitted := target.admit(now, fleet.load)
	if admitted {
		result.results = Results{Accepted: 1}
		if fleet.load.late {
			result.at = result.at.Add(fleet.load.runTime)
		}
		if now.Sub(start) > burstStart {
			fleet.served++
		}
	}
	fleet.results = append(fleet.results, result)
	attempt.rejectedBy, attempt.target, attempt.at = append(attempt.rejectedBy, attempt.target), -1, now.Add(simulationStep)
	return !admitted && len(attempt.rejectedBy) < 3
}

// permit asks the pacing daemon for leave to send the attempt to a target that has not rejected it, at once or else later.
func (fleet *brittleFleet) permit(now time.Time, attempt *simulatedAttempt) bool {
	attempt.permittedBy = fleet.pacing[attempt.sender]
	order := fleet.random.Perm(fleet.usable(now))
	for _, maxWait := range []time.Duration{0, paceWindow} {
		for _, target := range order {
			if slices.Contains(attempt.rejectedBy, target) {
				continue
			}
			if wait, granted := fleet.tables[attempt.permittedBy].Take(now, simulatedName(target), maxWait); granted {
				attempt.target, attempt.at = target, now.Add(wait)
				return true
			}
		}
	}
	return false
}

// TestFleetKeepsTargetsUp guards against daemons that together make the brittle targets of a service fall over more often than 2 + a tenth of their
// number, and against ones that leave their room unused. A rejected request goes on to another target at once, so a burst may exceed the bound of all targets
// before the pacing daemon has heard of a rejection, most of all if that daemon is a new one; and targets that fall silent reject later what has come meanwhile.
func TestFleetKeepsTargetsUp(t *testing.T) {
	const (
		ms        = time.Millisecond
		maxFalls  = 2 + 0.1*simulatedTargets
		minServed = 0.25 // of what load and room allow, as in the test with daemons
	)
	seeds := 20
	if testing.Short() {
		seeds = 3 // the race detector takes ten times as long
	}
	for _, test := range []struct {
		name string
		load brittleLoad
	}{
		{"room for one request", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 80}},
		{"room for one request, much load", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 200}},
		{"room for one request, short ones", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 5 * ms, load: 200}},
		{"room for one request, results at the end", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 500 * ms, late: true, load: 80}},
		{"unused targets", brittleLoad{bound: 7, room: 12, shrunk: 1, runTime: 160 * ms, load: 160, unused: 2}},
		{"the role moves", brittleLoad{bound: 7, room: 12, shrunk: 1, runTime: 160 * ms, load: 160, moves: []time.Duration{3000 * ms}}},
		{"the role moves, low bound", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 80, moves: []time.Duration{3000 * ms}}},
		{"the role moves three times", brittleLoad{bound: 7, room: 12, shrunk: 1, runTime: 160 * ms, load: 160, moves: []time.Duration{3000 * ms, 4000 * ms, 5000 * ms}}},
		{"the role comes back", brittleLoad{bound: 7, room: 12, shrunk: 1, runTime: 160 * ms, load: 160, moves: []time.Duration{1000 * ms, 1500 * ms, 2000 * ms, 3000 * ms}}},
		{"silent for half a second", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 80, silent: 500 * ms}},
		{"silent for a second", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 80, silent: time.Second}},
		{"silent for two seconds", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 80, silent: 2 * time.Second}},
		{"silent for two seconds, much load", brittleLoad{bound: 4, room: 12, shrunk: 1, runTime: 160 * ms, load: 200, silent: 2 * time.Second}},
		{"much room", brittleLoad{bound: 8, room: 28, shrunk: 5, runTime: 100 * ms, late: true, load: 270}},
		{"the role moves, much room", brittleLoad{bound: 8, room: 28, shrunk: 5, runTime: 100 * ms, late: true, load: 270, moves: []time.Duration{3500 * ms}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var all []int
			least, sum := 1.0, 0.0
			for seed := range uint64(seeds) {
				falls, served := test.load.play(seed)
				all, least, sum = append(all, falls), min(least, served), sum+served
			}
			t.Logf("falls %v; served at least %.2f, on average %.2f", all, least, sum/float64(seeds))
			if most := slices.Max(all); float64(most) > maxFalls {
				t.Errorf("%d targets fell over up to %d times", simulatedTargets, most)
			}
			if least < minServed {
				t.Errorf("served %.2f of what load and room allow", least)
			}
		})
	}
}
