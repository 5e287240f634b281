package batch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

// portalSpec describes targets that hold 26 large results.
var portalSpec = core.BatchSpec{
	MaxPieces: 18, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 9500 * time.Microsecond, MaxResultBytes: 40_000_000, ResultTTL: 4 * time.Second,
}

const (
	portalTargets = 5
	resultUse     = 600 * time.Millisecond // time after which the holder of a result frees it
	sizeSpread    = 0.25                   // results are larger or smaller than declared by up to this share
)

// portalClass is a steady stream of jobs of one class.
type portalClass struct {
	name      string
	pieces    int
	bytes     int64
	pieceTime time.Duration
	softTime  time.Duration
	perSecond float64 // jobs
	unfreed   bool    // nobody frees its results
	due       float64
}

// portal plays a load against targets that judge the room of each piece when its call begins; results outlive the pool.
type portal struct {
	pool    *Pool
	now     time.Time
	classes []*portalClass
	targets map[string]*portalTarget
	jobs    map[JobID]portalJob
	held    []heldResults
	onTime  map[string]map[int]int // by class and second of arrival
	sent    map[string]map[int]int
	noRoom  int
	made    int // results
}

type portalTarget struct {
	results map[string]modelResult
	running *portalCall
	waiting *portalCall
}

type portalCall struct {
	pool    *Pool
	call    Call
	ends    time.Time
	classes []*portalClass
	results []core.PieceResult
}

type portalJob struct {
	class   *portalClass
	arrived time.Time
}

type heldResults struct {
	handles []string
	until   time.Time
}

func newPortal(classes ...*portalClass) *portal {
	portal := &portal{now: start, classes: classes, targets: map[string]*portalTarget{}, onTime: map[string]map[int]int{}, sent: map[string]map[int]int{}}
	for _, target := range targets(portalTargets) {
		portal.targets[target.ID] = &portalTarget{results: map[string]modelResult{}}
	}
	for _, class := range classes {
		portal.onTime[class.name], portal.sent[class.name] = map[int]int{}, map[int]int{}
	}
	portal.lose()
	return portal
}

// lose replaces the pool and loses all holders of results.
func (portal *portal) lose() {
	portal.pool, portal.jobs, portal.held = New(portalSpec), map[JobID]portalJob{}, nil
	portal.pool.SetTargets(targets(portalTargets))
	for _, target := range portal.targets {
		target.waiting = nil
	}
}

func (portal *portal) second() int { return int(portal.now.Sub(start) / time.Second) }

func (portal *portal) run(duration time.Duration) {
	const step = 5 * time.Millisecond
	for end := portal.now.Add(duration); portal.now.Before(end); {
		portal.now = portal.now.Add(step)
		for _, class := range portal.classes {
			for class.due += class.perSecond * step.Seconds(); class.due >= 1; class.due-- {
				portal.sent[class.name][portal.second()]++
				id := portal.pool.Submit(Job{
					Attempt: "a", Pieces: class.pieces, Class: class.name, ResultBytes: class.bytes,
					SoftDeadline: portal.now.Add(class.softTime), Deadline: portal.now.Add(5 * time.Second),
				})
				portal.jobs[id] = portalJob{class, portal.now}
			}
		}
		for _, id := range slices.Sorted(maps.Keys(portal.targets)) {
			portal.advance(portal.targets[id])
		}
		for len(portal.held) > 0 && !portal.held[0].until.After(portal.now) {
			portal.free(portal.held[0].handles)
			portal.held = portal.held[1:]
		}
		calls, ended, unused := portal.pool.Dispatch(portal.now)
		portal.record(ended, unused)
		for _, call := range calls {
			sent := &portalCall{pool: portal.pool, call: call}
			for _, piece := range portal.pool.calls[call.ID].pieces {
				sent.classes = append(sent.classes, portal.jobs[piece.job.id].class)
			}
			portal.targets[call.Target.ID].waiting = sent
			portal.advance(portal.targets[call.Target.ID])
		}
	}
}

// advance ends the running call of a target when its time has come and begins the waiting one.
func (portal *portal) advance(target *portalTarget) {
	if ended := target.running; ended != nil && !ended.ends.After(portal.now) {
		target.running = nil
		if ended.pool == portal.pool {
			portal.record(portal.pool.Finish(portal.now, ended.call.ID, Responded, ended.results))
		}
	}
	if target.running != nil || target.waiting == nil {
		return
	}
	call := target.waiting
	target.running, target.waiting = call, nil
	var used int64
	for handle, result := range target.results {
		if used += result.bytes; portal.now.After(result.expires) {
			used -= result.bytes
			delete(target.results, handle)
		}
	}
	call.ends = portal.now.Add(portalSpec.CallOverhead)
	sizes := make([]int64, len(call.classes))
	for i, class := range call.classes {
		portal.made++
		sizes[i] = int64(float64(class.bytes) * (1 + sizeSpread*(2*math.Mod(float64(portal.made)*math.Phi, 1)-1)))
		if used+sizes[i] > portalSpec.MaxResultBytes {
			portal.noRoom++
			call.results = append(call.results, core.PieceResult{Fault: core.PieceNoRoom})
			continue
		}
		used += sizes[i]
		call.ends = call.ends.Add(class.pieceTime)
		call.results = append(call.results, core.PieceResult{Handle: fmt.Sprintf("%s/%d/%d", call.call.Target.Address, portal.now.UnixMilli(), i)})
	}
	for i, result := range call.results {
		if result.Handle != "" {
			target.results[result.Handle] = modelResult{bytes: sizes[i], expires: call.ends.Add(portalSpec.ResultTTL)}
		}
	}
}

func (portal *portal) free(handles []string) {
	portal.pool.Free(handles)
	for _, target := range portal.targets {
		for _, handle := range handles {
			delete(target.results, handle)
		}
	}
}

func (portal *portal) record(ended []Result, unused []string) {
	portal.free(unused)
	for _, result := range ended {
		job := portal.jobs[result.Job]
		if result.Fault != core.PieceDone {
			continue
		}
		if portal.now.Sub(job.arrived) <= job.class.softTime {
			portal.onTime[job.class.name][int(job.arrived.Sub(start)/time.Second)]++
		}
		if !job.class.unfreed {
			portal.held = append(portal.held, heldResults{result.Handles, portal.now.Add(resultUse)})
		}
	}
}

// share returns the share of the jobs of the classes, that arrived in the seconds, that were done in time.
func (portal *portal) share(from, to int, classes ...string) float64 {
	onTime, sent := 0, 0
	for _, class := range classes {
		for second := from; second < to; second++ {
			onTime, sent = onTime+portal.onTime[class][second], sent+portal.sent[class][second]
		}
	}
	return float64(onTime) / float64(sent)
}

// portalLoad returns two classes that use four fifths of the time of the targets: full calls process 294 pieces a second.
func portalLoad() (large, small *portalClass) {
	large = &portalClass{name: "report/0", pieces: 2, bytes: 1_500_000, pieceTime: 9500 * time.Microsecond, softTime: 900 * time.Millisecond, perSecond: 53.5}
	small = &portalClass{name: "check/0", pieces: 1, bytes: 8000, pieceTime: 2850 * time.Microsecond, softTime: 1200 * time.Millisecond, perSecond: 128}
	return large, small
}

// TestRoomAfterLoss guards against a pool that stays slow after all daemons were lost: it took each full target for one whose
// capacity was occupied for another lifetime of a result, and used less and less of what was free.
//
// The lost results occupy more than four fifths of the room for 4 s after the end of their calls, so that large ones cannot be back
// sooner; small ones need no room that those hold.
func TestRoomAfterLoss(t *testing.T) {
	large, small := portalLoad()
	portal := newPortal(large, small)
	portal.run(10 * time.Second)
	portal.lose()
	portal.run(12 * time.Second)
	for class, from := range map[*portalClass]int{large: 14, small: 10} {
		before := portal.share(2, 9, class.name)
		if before < 0.9 {
			t.Errorf("%s: %.2f are in time before the loss", class.name, before)
		}
		for second := 10; second < 21; second++ {
			share := portal.share(second, second+1, class.name)
			t.Logf("%s, second %d after the loss: %.2f in time", class.name, second-10, share)
			if second >= from && share < before*0.9 {
				t.Errorf("%s, second %d after the loss: %.2f in time, %.2f before", class.name, second-10, share, before)
			}
		}
	}
	t.Logf("%d pieces found no room", portal.noRoom)
}

// TestSmallResultsBesideLargeOnes guards against results that nobody frees, of a burst of a class with large ones, which fill
// the targets of a stage and leave no room for another class that needs a hundredth of it: while they are made, when the other
// class begins only then, and after the pool that made them was lost.
func TestSmallResultsBesideLargeOnes(t *testing.T) {
	for _, test := range []struct {
		name  string
		bytes int64 // beside 25 results of 1.5 MB half a megabyte stays free, beside 20 of 1.9 MB nothing
		begin bool  // the small class begins after a second of the burst
		lose  bool  // the pool is lost after two seconds of the burst
	}{
		{"burst", 1_500_000, false, false},
		{"burst to the brim", 1_900_000, false, false},
		{"idle class begins", 1_900_000, true, false},
		{"pool is lost", 1_500_000, false, true},
		{"pool is lost, to the brim", 1_900_000, false, true},
	} {
		share := map[bool]float64{}
		for _, burst := range []bool{false, true} {
			large, small := portalLoad()
			large.bytes, large.perSecond = test.bytes, large.perSecond/2
			perSecond := small.perSecond
			portal := newPortal(large, small)
			portal.run(3 * time.Second)
			if test.begin {
				small.perSecond = 0
			}
			portal.run(2 * time.Second)
			if burst {
				large.perSecond, large.unfreed = large.perSecond*2.1, true
			}
			portal.run(time.Second)
			small.perSecond = perSecond
			portal.run(time.Second)
			if test.lose {
				portal.lose()
			}
			portal.run(5 * time.Second)
			share[burst] = portal.share(7, 11, small.name)
			t.Logf("%s, %v: %.2f and %.2f in time, %d pieces found no room", test.name, burst, portal.share(7, 11, large.name), share[burst], portal.noRoom)
		}
		if share[true] < share[false]*0.9 {
			t.Errorf("%s: %.2f of the small class are in time beside the burst, %.2f without", test.name, share[true], share[false])
		}
	}
}
