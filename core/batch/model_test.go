package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkincove/core"
)

const (
	modelProbe   = 13 * time.Millisecond // step in which the model looks for work that the pool has not announced
	modelSteps   = 40                    // operations of one run
	modelTargets = 3
)

// pausingPacer lets targets get no calls before given times.
type pausingPacer struct{ until map[string]time.Time }

func (pacer pausingPacer) Wait(now time.Time, target string) time.Duration {
	return max(pacer.until[target].Sub(now), 0)
}

func (pacer pausingPacer) PausedFor(now time.Time, target string) time.Duration {
	return pacer.Wait(now, target)
}

func (pacer pausingPacer) Rate(string) (float64, bool) { return 0, false }

func (pacer pausingPacer) Take(time.Time, string, time.Duration) (time.Duration, bool) {
	return 0, true
}

// poolModel drives a Pool through random operations and checks it after each: it knows what each target retains, and which
// handles were given out.
type poolModel struct {
	t          *rapid.T
	pool       *Pool
	pacer      pausingPacer
	now        time.Time
	wake       time.Time // time that the pool named for the next Dispatch; zero means never
	jobs       map[JobID]Job
	running    map[CallID]Call
	retained   map[string]modelResult  // by handle
	held       map[string]bool         // handles that were given out and not returned yet
	startedAt  [modelTargets]time.Time // start of the newest run of each target
	responses  int
	responsive bool // calls end with all results in their expected time
}

type modelResult struct {
	target  Target
	bytes   int64
	expires time.Time
}

func newPoolModel(t *rapid.T) *poolModel {
	spec := warehouseSpec
	spec.MaxCalls = rapid.IntRange(1, 2).Draw(t, "calls of a target")
	model := &poolModel{
		t: t, pool: New(spec), pacer: pausingPacer{map[string]time.Time{}}, now: start, jobs: map[JobID]Job{}, running: map[CallID]Call{},
		retained: map[string]modelResult{}, held: map[string]bool{},
	}
	model.pool.Pacer = model.pacer
	model.setTargets()
	return model
}

func (model *poolModel) run() {
	operations := []func(){
		model.submit, model.submit, model.submit, model.finish, model.finish, model.finish, model.finish, model.fail, model.free, model.cancel, model.setTargets,
		model.pause, model.tell, model.advance, model.advance, model.advance,
	}
	for range modelSteps {
		operations[rapid.IntRange(0, len(operations)-1).Draw(model.t, "operation")]()
		model.dispatch()
		model.check()
	}
	// Whatever has happened, all jobs end once the targets respond.
	model.responsive = true
	model.wait(8 * time.Second)
	if len(model.jobs) > 0 {
		model.t.Fatalf("jobs %v have not ended by their deadlines", slices.Sorted(maps.Keys(model.jobs)))
	}
}

func (model *poolModel) duration(label string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(least/time.Millisecond), int(most/time.Millisecond)).Draw(model.t, label)) * time.Millisecond
}

func (model *poolModel) submit() {
	softTime := model.duration("soft time", 100*time.Millisecond, 3*time.Second)
	job := Job{
		Attempt: "a", Pieces: rapid.IntRange(1, 12).Draw(model.t, "pieces"), Class: rapid.SampledFrom([]string{"short", "long"}).Draw(model.t, "class"),
		ResultBytes: rapid.SampledFrom([]int64{0, 8000, 1_500_000, 6_000_000}).Draw(model.t, "bytes"), Priority: rapid.IntRange(0, 2).Draw(model.t, "priority"),
		DataCentre: rapid.SampledFrom([]string{"", "a", "b"}).Draw(model.t, "data centre"), LastAttempt: rapid.Bool().Draw(model.t, "last attempt"),
		SoftDeadline: model.now.Add(softTime), Deadline: model.now.Add(softTime + model.duration("time after it", 0, 4*time.Second)),
	}
	model.jobs[model.pool.Submit(job)] = job
}

// finish ends a call with a response in which some pieces may have no result.
func (model *poolModel) finish() {
	call, found := model.anyCall()
	if !found {
		return
	}
	faults := []core.PieceFault{core.PieceDone}
	if rapid.IntRange(0, 3).Draw(model.t, "with faults") == 0 {
		faults = []core.PieceFault{core.PieceDone, core.PieceNoRoom, core.PieceFailed, core.PieceInputGone, core.PieceLate}
	}
	var results []core.PieceResult
	for range call.Pieces {
		results = append(results, core.PieceResult{Fault: rapid.SampledFrom(faults).Draw(model.t, "fault")})
	}
	model.respond(call, results)
}

func (model *poolModel) respond(call Call, results []core.PieceResult) {
	delete(model.running, call.ID)
	model.responses++
	for i := range results {
		if results[i].Fault != core.PieceDone {
			continue
		}
		handle := fmt.Sprintf("%s/%d-%d", call.Target.Address, model.responses, i)
		results[i].Handle, model.held[handle] = handle, true
		model.retained[handle] = modelResult{target: call.Target, bytes: model.bytesOf(call, i), expires: model.now.Add(warehouseSpec.ResultTTL)}
	}
	model.pool.ObserveCall(model.now, call.ID, model.load())
	model.record(model.pool.Finish(model.now, call.ID, Responded, results))
}

// tell lets a target state its load, as with the response to a call that frees results.
func (model *poolModel) tell() {
	model.pool.Observe(model.now, fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, modelTargets-1).Draw(model.t, "telling target")), model.load())
}

func (model *poolModel) load() core.Load {
	if model.responsive {
		return core.Load{}
	}
	return core.Load{
		Told: rapid.Bool().Draw(model.t, "told"), Running: rapid.IntRange(0, 3).Draw(model.t, "running"), Waiting: rapid.IntRange(0, 3).Draw(model.t, "waiting"),
		Slots: rapid.IntRange(0, 2).Draw(model.t, "slots"), Pace: rapid.SampledFrom([]float64{1, 1, 0.5, 2.5, 20}).Draw(model.t, "pace"),
	}
}

// bytesOf returns the size of the result of a piece of a running call.
func (model *poolModel) bytesOf(call Call, i int) int64 {
	return model.pool.calls[call.ID].pieces[i].job.ResultBytes
}

func (model *poolModel) fail() {
	if call, found := model.anyCall(); found {
		delete(model.running, call.ID)
		model.record(model.pool.Finish(model.now, call.ID, rapid.SampledFrom([]Outcome{Failed, Rejected}).Draw(model.t, "outcome"), nil))
	}
}

func (model *poolModel) anyCall() (Call, bool) {
	if len(model.running) == 0 {
		return Call{}, false
	}
	return model.running[rapid.SampledFrom(slices.Sorted(maps.Keys(model.running))).Draw(model.t, "call")], true
}

func (model *poolModel) free() {
	if len(model.retained) == 0 {
		return
	}
	handles := slices.Sorted(maps.Keys(model.retained))
	from := rapid.IntRange(0, len(handles)-1).Draw(model.t, "first handle")
	model.freeAll(handles[from:min(from+rapid.IntRange(1, 8).Draw(model.t, "handles"), len(handles))])
}

func (model *poolModel) freeAll(handles []string) {
	model.pool.Free(handles)
	for _, handle := range handles {
		delete(model.retained, handle)
	}
}

func (model *poolModel) cancel() {
	if len(model.jobs) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(model.jobs))).Draw(model.t, "job")
	delete(model.jobs, id)
	model.takeBack(model.pool.Cancel(id))
}

func (model *poolModel) setTargets() {
	var list []Target
	for i := range modelTargets {
		state := rapid.SampledFrom([]string{"runs", "runs", "runs", "restarts", "is gone"}).Draw(model.t, "target")
		if state == "is gone" {
			continue
		}
		if state == "restarts" {
			model.startedAt[i] = model.now
		}
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: string(rune('a' + i%2)), StartedAt: model.startedAt[i]})
	}
	model.pool.SetTargets(list)
	for handle, result := range model.retained { // those of a target that is gone, or that has restarted, are gone
		if worker := model.pool.workers[result.target.ID]; worker == nil || worker.Target != result.target {
			delete(model.retained, handle)
		}
	}
}

func (model *poolModel) pause() {
	model.pacer.until[fmt.Sprintf("t%d", rapid.IntRange(0, modelTargets-1).Draw(model.t, "paused target"))] = model.now.Add(model.duration("pause", 0, 2*time.Second))
}

func (model *poolModel) advance() {
	model.wait(model.duration("time", 1*time.Millisecond, time.Second))
}

// wait lets time pass in which nothing happens but that the pool is woken at the times that it names, and that calls end
// which have taken longer than their timeout.
func (model *poolModel) wait(duration time.Duration) {
	for end := model.now.Add(duration); model.now.Before(end); {
		next := model.now.Add(modelProbe)
		announced := !model.wake.IsZero() && !model.wake.After(next.Add(minWakeup)) // wake-ups are rounded by as much
		if announced {
			next = model.wake
		}
		model.now = next
		calls, ended, unused := model.pool.Dispatch(model.now)
		if !announced && len(calls)+len(ended) > 0 {
			model.t.Fatalf("%v: %d calls can be sent and %d jobs end, the pool wanted to be woken at %v", model.now.Sub(start), len(calls), len(ended), model.wake.Sub(start))
		}
		model.begin(calls, ended, unused)
		for _, id := range slices.Sorted(maps.Keys(model.running)) {
			call := model.running[id]
			took := model.now.Sub(model.pool.calls[id].startedAt)
			switch {
			case model.responsive && took >= model.pool.calls[id].expected:
				model.respond(call, make([]core.PieceResult, len(call.Pieces)))
			case took >= call.Timeout:
				delete(model.running, id)
				model.record(model.pool.Finish(model.now, id, Failed, nil))
			default:
				continue
			}
			model.dispatch()
		}
	}
}

func (model *poolModel) dispatch() {
	model.begin(model.pool.Dispatch(model.now))
}

func (model *poolModel) begin(calls []Call, ended []Result, unused []string) {
	for _, call := range calls {
		model.running[call.ID] = call
	}
	model.record(ended, unused)
	model.wake = model.pool.NextWakeup(model.now)
}

func (model *poolModel) record(ended []Result, unused []string) {
	for _, result := range ended {
		if _, known := model.jobs[result.Job]; !known {
			model.t.Fatalf("job %d ended twice or after it was cancelled", result.Job)
		}
		delete(model.jobs, result.Job)
		model.takeBack(result.Handles)
	}
	model.takeBack(unused)
}

// takeBack notes that the pool has returned handles, each of them once.
func (model *poolModel) takeBack(handles []string) {
	for _, handle := range handles {
		if !model.held[handle] {
			model.t.Fatalf("handle %q is returned twice or was never given out", handle)
		}
		delete(model.held, handle)
	}
}

// check compares what the pool accounts for with what the targets retain, and the handles that it still has with those of
// unfinished jobs.
func (model *poolModel) check() {
	retained := map[*worker]int64{}
	for handle, result := range model.retained {
		if model.now.After(result.expires) {
			delete(model.retained, handle)
			continue
		}
		if worker := model.pool.workers[result.target.ID]; worker != nil && worker.Target == result.target {
			retained[worker] += result.bytes
		}
	}
	reserved, inFlight := map[*worker]int64{}, map[*worker]int{}
	for _, call := range model.pool.calls {
		reserved[call.worker] += call.resultBytes
		inFlight[call.worker]++
	}
	for id, worker := range model.pool.workers {
		if worker.reservedBytes != reserved[worker] || worker.inFlight != inFlight[worker] {
			model.t.Fatalf("%s: %d bytes are reserved for %d calls, want %d for %d", id, worker.reservedBytes, worker.inFlight, reserved[worker], inFlight[worker])
		}
		if worker.retainedBytes != retained[worker] {
			model.t.Fatalf("%s: %d bytes count as retained, the target retains %d", id, worker.retainedBytes, retained[worker])
		}
	}
	if len(model.pool.calls) != len(model.running) {
		model.t.Fatalf("the pool has %d calls, %d are running", len(model.pool.calls), len(model.running))
	}
	kept := 0
	for _, job := range model.pool.jobs {
		for _, handle := range job.handles {
			if handle != "" {
				kept++
			}
		}
	}
	if kept != len(model.held) {
		model.t.Fatalf("unfinished jobs have %d handles, %d were given out and not returned", kept, len(model.held))
	}
}

// TestPoolModel guards against a queued piece that nothing wakes when it can be sent or has to be rejected, against result capacity
// that counts as occupied although the target has none of it, and against results that nobody frees.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newPoolModel(t).run() })
}
