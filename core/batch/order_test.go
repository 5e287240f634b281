package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

// TestQueueOrder guards against work that is worth little and makes all that waits behind it late, against a class or team that is deferred for good, and against another order
// than that of due time while the targets can do everything in time. The name of a job is its class; a target does four pieces of 100 ms in a call of 400 ms.
func TestQueueOrder(t *testing.T) {
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	job := func(class string, priority, pieces int, soft time.Duration) Job {
		return Job{Class: class, Team: "of " + class, Priority: priority, Pieces: pieces, SoftDeadline: now.Add(soft), Deadline: now.Add(8 * time.Second)}
	}
	withoutTeam := func(job Job) Job { job.Team = ""; return job }
	const ms = time.Millisecond
	chat, check := job("chat", 2, 8, 1000*ms), job("check", 0, 4, 1300*ms)
	for _, test := range []struct {
		name    string
		jobs    []Job
		offsets map[group]float64
		want    []string
	}{
		{"room for all", []Job{job("check", 0, 4, 2600*ms), job("chat", 2, 8, 1900*ms)}, nil, []string{"chat", "check"}},
		{"less urgent work first in order of due time", []Job{chat, check}, nil, []string{"check", "chat"}},
		{"large and small of one priority", []Job{job("large", 0, 8, 1000*ms), job("small", 0, 1, 1050*ms)}, nil, []string{"small", "large"}},
		{"class below its floor", []Job{chat, check}, map[group]float64{{"chat", false}: -0.6}, []string{"chat", "check"}},
		{"team below its floor", []Job{chat, check}, map[group]float64{{"of chat", true}: -0.6}, []string{"chat", "check"}},
		{"all jobs without a team late", []Job{withoutTeam(chat), withoutTeam(check)}, map[group]float64{{"", true}: -0.9}, []string{"check", "chat"}},
		{"late work last", []Job{job("late", 0, 1, 100*ms), chat, check}, nil, []string{"check", "chat", "late"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := New(core.BatchSpec{MaxPieces: 4, MaxCalls: 1, CallOverhead: 40 * ms, PieceTime: 90 * ms})
			pool.SetTargets([]Target{{ID: "a"}})
			for key, offset := range test.offsets {
				pool.inTimeOffset[key] = offset
			}
			for _, job := range test.jobs {
				pool.Submit(job)
			}
			pool.sortQueue(now)
			var order []string
			for _, waiting := range pool.queue {
				if !slices.Contains(order, waiting.job.Class) {
					order = append(order, waiting.job.Class)
				}
			}
			if !slices.Equal(order, test.want) {
				t.Errorf("order is %v, want %v", order, test.want)
			}
		})
	}
}

// TestFloorIsReached guards against a class that is always deferred: under a load of which a more urgent class could use all, its share in time comes to the floor.
func TestFloorIsReached(t *testing.T) {
	pool := New(core.BatchSpec{MaxPieces: 4, MaxCalls: 1, CallOverhead: 40 * time.Millisecond, PieceTime: 90 * time.Millisecond})
	for range 100 {
		pool.recordInTime(&job{Job: Job{Class: "chat", Team: "small"}}, false)
	}
	starved := &job{Job: Job{Class: "chat", Team: "other"}}
	if !pool.belowFloor(starved) || pool.belowFloor(&job{Job: Job{Class: "check", Team: "other"}}) {
		t.Error("only the class that is late is below its floor")
	}
	for range 20 {
		pool.recordInTime(&job{Job: Job{Class: "chat", Team: "small"}}, true)
	}
	if pool.belowFloor(starved) {
		t.Error("the class is still below its floor after 20 jobs in time")
	}
}

// TestForecastOfPriorities guards against urgent requests that are turned away for work that is deferred for them, and against a forecast of an older build, which has none for each
// priority, being taken for an idle one.
func TestForecastOfPriorities(t *testing.T) {
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	pool := New(core.BatchSpec{MaxPieces: 4, MaxCalls: 1, CallOverhead: 40 * time.Millisecond, PieceTime: 90 * time.Millisecond})
	pool.SetTargets([]Target{{ID: "a"}})
	for i := range 10 {
		pool.Submit(Job{Attempt: fmt.Sprint(i), Class: "chat", Priority: 2, Pieces: 4, SoftDeadline: now.Add(time.Second), Deadline: now.Add(8 * time.Second)})
	}
	forecast := pool.Forecast(now)
	urgent, same := forecast.WaitOf(0, 2*time.Second), forecast.WaitOf(2, 2*time.Second)
	if urgent != 0 || same != 4*time.Second {
		t.Errorf("an urgent job waits %v, one of the same priority %v", urgent, same)
	}
	forecast.AheadOf = nil
	if older := forecast.WaitOf(0, 2*time.Second); older != same {
		t.Errorf("by the forecast of an older build an urgent job waits %v, want %v", older, same)
	}
}
