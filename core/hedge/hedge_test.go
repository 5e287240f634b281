package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const (
	interval = 25 * time.Millisecond
	window   = 10 * time.Second
)

// replay is a minute and a half of 40 requests a second at one daemon, of which the first half minute only fills the histogram.
type replay struct {
	share     float64
	slowOf100 float64                      // answers that take five times as long
	slowAll   func(at time.Duration) bool  // all answers take five times as long then
	before    func(*Hedger, time.Duration) // is called before each request
	lateBy    time.Duration                // by which all timers fire late
}

func (replay replay) run() (p99 time.Duration, requests, extra, worstWindow int) {
	const measured = 30 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	hedger := Hedger{Share: replay.share}
	latency := func(at time.Duration) time.Duration {
		usual := time.Duration((80 + 40*random.Float64()) * float64(time.Millisecond))
		if random.Float64()*100 < replay.slowOf100 || replay.slowAll != nil && replay.slowAll(at) {
			return 5 * usual
		}
		return usual
	}
	var latencies []time.Duration
	var tries []time.Duration
	for at := time.Duration(0); at < 90*time.Second; at += interval {
		now := start.Add(at)
		if replay.before != nil {
			replay.before(&hedger, at)
		}
		took := latency(at)
		if delay, known := hedger.Begin(now, "route"); known && took > delay {
			due := now.Add(delay)
			if hedger.Allow(due.Add(replay.lateBy), due, "service") == Allowed {
				tries = append(tries, at)
				took = min(took, delay+latency(at))
			}
		}
		hedger.Observe(now.Add(took), "route", took)
		requests++
		if at >= measured {
			latencies = append(latencies, took)
		}
	}
	for _, end := range tries {
		inWindow := 0
		for _, at := range tries {
			if at > end-window && at <= end {
				inWindow++
			}
		}
		worstWindow = max(worstWindow, inWindow)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], requests, len(tries), worstWindow
}

// TestReplay guards against second tries that do not cut the slowest answers, or cost more than the operators' share of the requests, also when all answers are
// slow; and against any while the service is short of room, or the process was stalled and finds all answers slow.
func TestReplay(t *testing.T) {
	burst := func(at time.Duration) bool { return at > 45*time.Second && at < 60*time.Second }
	for _, test := range []struct {
		name   string
		replay replay
		maxP99 time.Duration
		none   bool
	}{
		{"share 0", replay{slowOf100: 3}, time.Second, true},
		{"share 0.01", replay{share: 0.01, slowOf100: 3}, time.Second, false},
		{"share 0.05", replay{share: 0.05, slowOf100: 3}, 250 * time.Millisecond, false},
		{"burst", replay{share: 0.05, slowOf100: 3, slowAll: burst}, time.Second, false},
		{"short of room", replay{share: 0.05, slowOf100: 3, before: func(hedger *Hedger, at time.Duration) {
			if at%time.Second == 0 {
				hedger.RecordNoRoom(start.Add(at), "service")
			}
		}}, time.Second, true},
		{"stalled", replay{share: 0.05, slowOf100: 3, lateBy: time.Second}, time.Second, true},
		{"stall detected", replay{share: 0.05, slowOf100: 3, before: func(hedger *Hedger, at time.Duration) {
			if at%time.Second == 0 {
				hedger.RecordStall(start.Add(at))
			}
		}}, time.Second, true},
	} {
		p99, requests, extra, worstWindow := test.replay.run()
		t.Logf("%s: p99 %v, %d requests, %d second tries", test.name, p99, requests, extra)
		limit := int(test.replay.share*float64(window/interval)) + maxCredit
		if p99 > test.maxP99 || worstWindow > limit || float64(extra) > test.replay.share*float64(requests) || test.none != (extra == 0) {
			t.Errorf("%s: p99 %v (limit %v), %d second tries, %d in a window (limit %d)", test.name, p99, test.maxP99, extra, worstWindow, limit)
		}
	}
}

// TestFleet guards against a daemon with few requests that never learns the delay, against reports that outlive their daemon, and against messages while second
// tries are off.
func TestFleet(t *testing.T) {
	busy, quiet := Hedger{Share: 0.05}, Hedger{Share: 0.05}
	for range 1000 {
		busy.Observe(start, "route", 200*time.Millisecond)
	}
	quiet.Observe(start, "route", 20*time.Millisecond)
	if _, known := quiet.Delay(start, "route"); known {
		t.Error("one answer gives a delay")
	}
	quiet.Merge(start, "busy", busy.Report(start))
	if delay, known := quiet.Delay(start, "route"); !known || delay < 190*time.Millisecond || delay > 210*time.Millisecond {
		t.Errorf("delay %v, %v", delay, known)
	}
	if _, known := quiet.Delay(start.Add(reportTTL), "route"); known {
		t.Error("an old report gives a delay")
	}
	quiet.Merge(start, "broken", []Latency{{"route", 1 << 62, time.Hour}, {"route", -1, time.Second}})
	busy.Share = 0
	if report := busy.Report(start); report != nil {
		t.Errorf("%v is reported while second tries are off", report)
	}
	var off Hedger
	if _, known := off.Begin(start, "route"); known || off.Allow(start, start, "service") != Off {
		t.Error("the zero value allows second tries")
	}
}

// TestShareOfFleet guards against a fleet without second tries because no daemon has enough requests to earn one: 61 daemons had 16 each on a day.
func TestShareOfFleet(t *testing.T) {
	const daemons, requests, share = 61, 16, 0.05
	tries := 0
	for i := range daemons {
		hedger := Hedger{Share: share, Credit: (float64(i) + 0.5) / daemons}
		for range requests {
			hedger.Begin(start, "route")
			if hedger.Allow(start, start, "service") == Allowed {
				tries++
			}
		}
	}
	if limit := share * daemons * requests; float64(tries) > limit+1 || float64(tries) < limit-1 {
		t.Errorf("%d second tries of %d requests at a share of %v", tries, daemons*requests, share)
	}
}
