package canary

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"catkincove/core"
)

// TestFalseAlarms guards against evidence that grows by chance when it is read often: two versions that are alike, compared every 200 ms for ten minutes, at a
// failure rate that changes for both.
func TestFalseAlarms(t *testing.T) {
	const seeds, looks, threshold = 300, 3000, 20
	alarms := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		var comparison comparison
		for look := range looks {
			rate := 0.01
			if look%500 < 50 { // trouble of both
				rate = 0.4
			}
			var counts counts
			for range 20 {
				fails, isNew := random.Float64() < rate, random.Float64() < float64(look)/looks
				switch {
				case isNew && fails:
					counts.newHits++
				case isNew:
					counts.newMisses++
				case fails:
					counts.oldHits++
				default:
					counts.oldMisses++
				}
			}
			comparison.observe(float64(look)/looks, counts, limits{odds: 1, share: 0.01}, false)
			if comparison.against.value() >= threshold {
				alarms++
				break
			}
		}
	}
	t.Logf("%d of %d with evidence %d", alarms, seeds, threshold)
	if alarms > seeds/threshold+8 { // two standard deviations
		t.Errorf("%d of %d comparisons of like versions reach evidence %d", alarms, seeds, threshold)
	}
}

// TestReports guards against reports that count twice: lost, repeated, and out of order, with JSON between.
func TestReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	orderly, disturbed := NewJudge(JudgeOptions{IssuedAt: testStart}), NewJudge(JudgeOptions{IssuedAt: testStart})
	var recorder Recorder
	var reports []Report
	var now time.Time
	for step := range 200 {
		now = testStart.Add(time.Duration(step) * 10 * time.Millisecond)
		request := recorder.Begin(now, fmt.Sprint(step%3), Arm(step%2))
		if step%5 > 0 {
			recorder.End(now.Add(time.Duration(step)*time.Millisecond), request, Outcome(step%4%3))
		}
		text, err := json.Marshal(recorder.Report(now))
		if err != nil {
			t.Fatal(err)
		}
		var report Report
		if err := json.Unmarshal(text, &report); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, report)
		orderly.Add(now, "a", report, 0)
		for range random.IntN(3) {
			disturbed.Add(now, "a", reports[random.IntN(len(reports))], 0)
		}
	}
	disturbed.Add(now, "a", reports[len(reports)-1], 0)
	disturbed.Add(now, "a", reports[0], 0)
	for name, route := range orderly.routes {
		if !reflect.DeepEqual(route.sums.New, disturbed.routes[name].sums.New) || !reflect.DeepEqual(route.sums.Old, disturbed.routes[name].sums.Old) {
			t.Errorf("route %s: %+v, want %+v", name, disturbed.routes[name].sums, route.sums)
		}
	}
}

// TestRecorder guards against slow requests that are seen only after their end, streams whose late failure is not counted, and routes without number.
func TestRecorder(t *testing.T) {
	var recorder Recorder
	stream := recorder.Begin(testStart, "chat", New)
	slow := recorder.Begin(testStart, "chat", New)
	recorder.End(testStart.Add(50*time.Millisecond), stream, Good)
	recorder.End(testStart.Add(time.Second), stream, Bad)
	recorder.End(testStart.Add(time.Second), stream, Bad)
	tally := recorder.Report(testStart.Add(2 * time.Second)).route("chat").New
	if tally.Good != 1 || tally.Bad != 1 || tally.Sent != 2 || tally.slow(bucketOf(time.Second)) != 1 {
		t.Errorf("tally %+v with a stream that fails late and a request of 2 s in progress", tally)
	}
	recorder.End(testStart.Add(3*time.Second), slow, Ignored)
	for i := range 1000 {
		recorder.End(testStart, recorder.Begin(testStart, fmt.Sprint(i), Old), Good)
	}
	var sent int64
	report := recorder.Report(testStart.Add(4 * time.Second))
	for _, tally := range report.Routes {
		sent += tally.Old.Sent
	}
	if len(report.Routes) > maxRoutes+1 || sent != 1000 {
		t.Errorf("%d routes with %d requests, want at most %d with 1000", len(report.Routes), sent, maxRoutes+1)
	}
}

// TestSplitter guards against daemons that together exceed the bounds when they are cut off at any share, get uneven loads and bursts, or get old grants late.
func TestSplitter(t *testing.T) {
	for _, share := range []float64{0.02, 0.5, 1} {
		random := rand.New(rand.NewPCG(1, 2))
		var splitters [7]Splitter
		requests, sent := 0, 0
		for i := range splitters {
			splitters[i].Use(testStart, Grant{Sequence: 2, Share: share, For: time.Hour, Bounds: testBounds, Daemons: len(splitters)})
			splitters[i].Use(testStart, Grant{Sequence: 1, Share: 1, For: time.Hour, Bounds: testBounds, Daemons: 1})
		}
		for range 20000 {
			requests++
			if splitters[random.IntN(1+random.IntN(7))].ChooseRoute(testStart, "a") == New {
				sent++
			}
			if bound := testBounds.Share*float64(requests) + testBounds.Slack; float64(sent) > bound {
				t.Fatalf("share %v: %d of %d requests at the new version", share, sent, requests)
			}
		}
		if float64(sent) < 0.7*min(share, testBounds.Share)*float64(requests) {
			t.Errorf("share %v: only %d of %d requests at the new version", share, sent, requests)
		}
		if splitters[0].Choose(testStart.Add(time.Hour)) == New {
			t.Errorf("share %v: an expired grant sends to the new version", share)
		}
	}
}

// TestUnstableFleet guards against an order that a disturbed network rolls back, and against one that keeps a version that fails nearly everything.
func TestUnstableFleet(t *testing.T) {
	phase := func(fails int, unstable bool) core.RolloutPhase {
		judge := NewJudge(JudgeOptions{Order: core.RolloutOrder{Duration: time.Minute}, IssuedAt: testStart, Bounds: testBounds})
		var recorder Recorder
		var decision Decision
		for step := range 100 {
			now := testStart.Add(time.Duration(step) * 100 * time.Millisecond)
			for i := range 20 {
				outcome := Good
				if i%10 < fails {
					outcome = Bad
				}
				recorder.End(now, recorder.Begin(now, "a", New), outcome)
				recorder.End(now, recorder.Begin(now, "a", Old), Good)
			}
			judge.Add(now, "a", recorder.Report(now), 0)
			decision = judge.Decide(now, Fleet{Daemons: []core.MemberID{"a"}, NewTargets: 3, OldTargets: 3, Unstable: unstable})
		}
		return decision.Phase
	}
	if phase(3, false) != core.RolloutRolledBack || phase(3, true) != core.RolloutRunning || phase(10, true) != core.RolloutRolledBack {
		t.Errorf("3 of 10 failures %v, in an unstable fleet %v; 10 of 10 there %v", phase(3, false), phase(3, true), phase(10, true))
	}
}

// TestReplacedOrder guards against evidence that outlives its order, and against an order without traffic or targets that succeeds.
func TestReplacedOrder(t *testing.T) {
	fleet := Fleet{Daemons: []core.MemberID{"a"}, NewTargets: 3, OldTargets: 3}
	first := NewJudge(JudgeOptions{Order: core.RolloutOrder{Duration: 12 * time.Second}, IssuedAt: testStart, Bounds: testBounds})
	second := NewJudge(JudgeOptions{Order: core.RolloutOrder{Duration: 12 * time.Second}, IssuedAt: testStart.Add(5 * time.Second), Bounds: testBounds})
	var recorder Recorder
	for range 30 {
		recorder.End(testStart, recorder.Begin(testStart, "a", New), Bad)
		recorder.End(testStart, recorder.Begin(testStart, "a", Old), Good)
	}
	first.Add(testStart, "a", recorder.Report(testStart), 0)
	if decision := first.Decide(testStart.Add(time.Second), fleet); decision.Phase != core.RolloutRolledBack || decision.Share != 0 {
		t.Errorf("first order %+v", decision)
	}
	var afresh Recorder
	for second10 := range 130 {
		now := testStart.Add(5*time.Second + time.Duration(second10)*100*time.Millisecond)
		second.Add(now, "a", afresh.Report(now), 0)
		want := core.RolloutRunning
		if second10 >= 108 {
			want = core.RolloutRolledBack
		}
		if decision := second.Decide(now, fleet); decision.Phase != want {
			t.Fatalf("second order after %d00 ms %+v", second10, decision)
		}
	}
}
