package blame

import (
	"fmt"
	"testing"
	"time"

	"catkincove/core"
)

// crashAt records a crash of a run of a target under a request with the parts.
func crashAt(tracker *CrashTracker, now time.Time, run string, parts ...core.Fingerprint) {
	tracker.Record(now, Request{Content: core.Fingerprint(now.UnixNano()), Parts: parts}, run)
}

// TestSoundPartWithMoreCrashes guards against a sound part that stays quarantined for minutes because it has more recorded crashes than the part that is to
// blame: the daemon that ran a request with that part ended before it recorded the crash, and another one recorded it for a sound request. In the soak, half
// of the requests got 422 until the end of the test.
func TestSoundPartWithMoreCrashes(t *testing.T) {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	// recordAll records crashes of the part that is to blame, some of them under sound requests only.
	recordAll := func(tracker *CrashTracker, unseen int) {
		for i := range unseen {
			crashAt(tracker, start.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("unseen/", i), first, second)
		}
		for i := range 8 {
			now := start.Add(time.Duration(i) * 300 * time.Millisecond)
			crashAt(tracker, now, fmt.Sprint("run/", i), first, bad)
			if i < 4 {
				crashAt(tracker, now, fmt.Sprint("run/", i), first, second)
			}
		}
	}
	sound, guilty := Request{Content: 1001, Parts: []core.Fingerprint{first, second}}, Request{Content: 1002, Parts: []core.Fingerprint{first, bad}}
	for _, unseen := range []int{1, 2} {
		t.Run(fmt.Sprint(unseen, " crashes unseen"), func(t *testing.T) {
			var here, there CrashTracker
			recordAll(&here, unseen)
			now := start.Add(3 * time.Second)
			gossip(now, &here, &there)
			now = now.Add(testDelay)
			if _, quarantined := there.Quarantined(now, sound); quarantined && !there.Test(now, sound) {
				t.Fatal("a sound request is neither sent nor a test")
			}
			if _, quarantined := there.Quarantined(now, sound); quarantined && there.Test(now, sound) {
				t.Error("two tests at once")
			}
			there.Exonerate(now, sound)
			gossip(now, &here, &there)
			gossip(now, &here, &there)
			for name, tracker := range map[string]*CrashTracker{"here": &here, "there": &there} {
				if _, quarantined := tracker.Quarantined(now, sound); quarantined {
					t.Errorf("%s: a sound request is quarantined after the test", name)
				}
				if _, quarantined := tracker.Quarantined(now, guilty); !quarantined {
					t.Errorf("%s: the part that is to blame is not quarantined", name)
				}
			}
		})
	}
}

// TestTestsOfGuiltyPart guards against tests that spend more than one request on a part that crashes targets: a failed test shows that no part which the
// request lacks is to blame, also to a daemon that has only heard of it. Parts that requests beside it had in most crashes must not hide it again.
func TestTestsOfGuiltyPart(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var here, there CrashTracker
	for i := range 6 {
		crashAt(&here, now, fmt.Sprint("run/", i), first, bad)
		if i > 0 {
			crashAt(&here, now, fmt.Sprint("run/", i), first, second)
		}
		now = now.Add(300 * time.Millisecond)
	}
	here.Exonerate(now, Request{Content: 1005, Parts: []core.Fingerprint{first}})
	guilty := Request{Content: 1002, Parts: []core.Fingerprint{first, bad}}
	tests := 0
	for step := range 600 {
		now = now.Add(100 * time.Millisecond)
		tracker := []*CrashTracker{&here, &there}[step/20%2]
		gossip(now, &here, &there)
		if _, quarantined := tracker.Quarantined(now, guilty); quarantined && tracker.Test(now, guilty) {
			tests++
			probe := guilty
			probe.Probe = true
			tracker.Record(now, probe, fmt.Sprint("test/", tests))
		}
	}
	if tests > 1 {
		t.Errorf("%d tests with a part that crashes targets, at most 1 expected", tests)
	}
}

// TestNoTestWithoutAlternative guards against tests of a part that no other part can excuse, not one that half of its crashes have in common either: each of them costs a
// target.
func TestNoTestWithoutAlternative(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var tracker CrashTracker
	for i := range 8 {
		crashAt(&tracker, now, fmt.Sprint("run/", i), []core.Fingerprint{first, second, third, first}[i%4], bad)
		now = now.Add(300 * time.Millisecond)
	}
	request := Request{Content: 1002, Parts: []core.Fingerprint{100, bad}}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if _, quarantined := tracker.Quarantined(now, request); !quarantined || tracker.Test(now, request) {
			t.Fatalf("quarantined %v, or a test, although only one part explains the crashes", quarantined)
		}
	}
}
