package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

const (
	ledgerSlots   = 6
	ledgerSenders = 61
	ledgerWork    = 60 * time.Millisecond
	ledgerStep    = 2 * time.Millisecond
)

// ledger replays six targets of six slots that share their machines with others: 0.15 of them are slower by 2.5 for 200 to 500 ms at a
// time. Each of 61 daemons chooses for its own requests.
type ledger struct {
	random  *rand.Rand
	now     time.Time
	senders []*Chooser
	targets []Target
	running [][]ledgerRequest // by target, those beyond its slots wait
	slow    []bool
	changes []time.Time
	tells   func(target int, load core.Load) core.Load
	times   []time.Duration
}

type ledgerRequest struct {
	sender int
	sentAt time.Time
	left   time.Duration
}

func newLedger(seed uint64, tells func(target int, load core.Load) core.Load) *ledger {
	replay := &ledger{random: rand.New(rand.NewPCG(seed, 1)), now: start, tells: tells, running: make([][]ledgerRequest, 6), slow: make([]bool, 6), changes: make([]time.Time, 6)}
	for i := range 6 {
		replay.targets = append(replay.targets, Target{ID: fmt.Sprintf("l%d", i)})
	}
	for i := range ledgerSenders {
		replay.senders = append(replay.senders, &Chooser{Random: rand.New(rand.NewPCG(uint64(i), 2)), Daemons: ledgerSenders})
	}
	return replay
}

func (replay *ledger) pace(target int) float64 {
	if replay.slow[target] {
		return 2.5
	}
	return 1
}

func (replay *ledger) load(target int) core.Load {
	requests := len(replay.running[target])
	running := min(requests, ledgerSlots)
	return replay.tells(target, core.Load{Told: true, Running: running, Waiting: requests - running, Slots: ledgerSlots, Pace: replay.pace(target)})
}

func (replay *ledger) step() {
	replay.now = replay.now.Add(ledgerStep)
	for i := range replay.targets {
		if !replay.now.Before(replay.changes[i]) {
			replay.slow[i] = !replay.slow[i] && !replay.changes[i].IsZero()
			lasts := 200*time.Millisecond + time.Duration(replay.random.IntN(300))*time.Millisecond
			if !replay.slow[i] {
				lasts = time.Duration(replay.random.ExpFloat64() * float64(350*time.Millisecond) * 0.85 / 0.15)
			}
			replay.changes[i] = replay.now.Add(lasts)
		}
		var kept, ended []ledgerRequest
		for k, request := range replay.running[i] {
			if k < ledgerSlots {
				request.left -= time.Duration(float64(ledgerStep) / replay.pace(i))
			}
			if request.left <= 0 {
				ended = append(ended, request)
				continue
			}
			kept = append(kept, request)
		}
		replay.running[i] = kept
		for _, request := range ended {
			took := replay.now.Sub(request.sentAt)
			replay.times = append(replay.times, took)
			replay.senders[request.sender].Observe(replay.now, replay.targets[i].ID, replay.load(i))
			replay.senders[request.sender].Finish(replay.now, replay.targets[i].ID, Succeeded, float64(took)/float64(ledgerWork))
		}
	}
}

func (replay *ledger) send(sender int) int {
	chosen, _ := replay.senders[sender].Choose(replay.now, replay.targets, Request{})
	replay.running[chosen] = append(replay.running[chosen], ledgerRequest{sender, replay.now, time.Duration((0.5 + replay.random.Float64()) * float64(ledgerWork))})
	return chosen
}

// play sends requests at 0.8 of the capacity and returns the share that takes longer than 300 ms.
func (replay *ledger) play(duration time.Duration) float64 {
	const rate = 0.8 * 6 * ledgerSlots * 0.91 // requests in progress; 0.15 of the targets do 1/2.5 of their work
	owed := 0.0
	for end := start.Add(duration); replay.now.Before(end); replay.step() {
		for owed += rate * ledgerStep.Seconds() / ledgerWork.Seconds(); owed >= 1; owed-- {
			replay.send(replay.random.IntN(ledgerSenders))
		}
	}
	slices.Sort(replay.times)
	late, _ := slices.BinarySearch(replay.times, 300*time.Millisecond+1)
	return 1 - float64(late)/float64(len(replay.times))
}

// TestToldLoad guards against requests that wait at a target which is slow or busy while another one that has told so is idle, and against
// targets whose statements are frozen.
func TestToldLoad(t *testing.T) {
	late := func(tells func(target int, load core.Load) core.Load) (mean float64) {
		const seeds = 4
		for seed := range uint64(seeds) {
			mean += newLedger(seed, tells).play(20*time.Second) / seeds
		}
		return mean
	}
	before := late(func(int, core.Load) core.Load { return core.Load{} })
	if told := late(func(_ int, load core.Load) core.Load { return load }); told >= before {
		t.Errorf("%.4f late, %.4f if targets tell nothing", told, before)
	}
	for name, frozen := range map[string]core.Load{"busy": {Told: true, Running: 6, Waiting: 9, Slots: 6, Pace: 2.5}, "idle": {Told: true, Slots: 6, Pace: 1}} {
		some := func(target int, load core.Load) core.Load {
			if target < 3 {
				return frozen
			}
			return load
		}
		if told := late(some); told > before+0.005 {
			t.Errorf("half of the targets always tell that they are %s: %.4f late, %.4f if targets tell nothing", name, told, before)
		}
	}
}

// TestManySendersSeeOneIdleTarget guards against daemons that all send to the target that all of them see idle: each sends three requests
// at once, of which a fair share of a target is a sixth.
func TestManySendersSeeOneIdleTarget(t *testing.T) {
	replay := newLedger(0, nil)
	atIdle := 0
	for i, sender := range replay.senders {
		for k, target := range replay.targets {
			load := core.Load{Told: true, Running: ledgerSlots, Waiting: 2, Slots: ledgerSlots, Pace: 1}
			if k == 0 {
				load.Running, load.Waiting = 0, 0
			}
			sender.Begin(replay.now, target.ID)
			sender.Observe(replay.now, target.ID, load)
			sender.Finish(replay.now, target.ID, Succeeded, 1)
		}
		for range 3 {
			if replay.send(i) == 0 {
				atIdle++
			}
		}
	}
	// Two random targets include the idle one in a third of the cases.
	if all := 3 * ledgerSenders; atIdle > all*2/5 || atIdle < all/6 {
		t.Errorf("%d of %d requests are sent to the idle target", atIdle, all)
	}
}
