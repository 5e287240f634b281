package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents   = 80
	streamGap      = 60 * time.Millisecond
	streamInterval = 45 * time.Millisecond // between two new streams
	streamLimit    = 20 * time.Second
	storeOutage    = 8 * time.Second // as in platform_down on the day trouble-3 of sgbp-orders
	restartTime    = 2 * time.Second // for which a replica is down, as in srv_crash on the day scale-1 of sgbp-orders
	replicas       = 12              // as on the sheet of sgbp-orders
	crashes        = 3               // 0.25 of them crash together, as on that day
	waves          = 3
	betweenCrashes = 1200 * time.Millisecond // after those before have started again
	maxJoined      = 2                       // streams that may hold events of two versions
)

// playVersions has replicas crash, three times some of them, and start again with another software version under their ids while the store is down; it reports whether more streams than the rule
// allows hold events of two versions.
func playVersions(record *record, trouble bool) (broken bool, err error) {
	outage := trouble && os.Getenv("OUTAGE") != "0"
	platform, err := newPlatform(record, machineMemory)
	if err != nil {
		return false, err
	}
	defer platform.end()
	var engines []*engine
	for i := range replicas {
		engine, err := newEngine(record, fmt.Sprintf("i-%08x", 0x2f3a91c0+i), "kuwentuhan", zones[i%len(zones)], "v1", streamEvents, streamGap)
		if err != nil {
			return false, err
		}
		defer engine.crash()
		engines = append(engines, engine)
	}
	var down atomic.Bool
	register := func(engine *engine) {
		if entry, running := engine.registration(); running && !down.Load() {
			platform.store.Put("servers/"+engine.id, entry)
		}
	}
	for _, engine := range engines {
		register(engine)
	}
	platform.writeConfig(7, []any{route("chat", "streaming", "kuwentuhan", map[string]any{
		"timeout-ms": 20000, "target-latency-ms": 3100, "max-attempts": 2, "resumable": true, "gap-aim-ms": 500, "sticky": true,
	})}, []any{service("kuwentuhan", map[string]any{"engine": map[string]any{"slots": 64, "kv-capacity": 341995}})})
	if err := platform.startMachines(3); err != nil {
		return false, err
	}
	record.printf("all machines are ready")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var background, streams sync.WaitGroup
	background.Go(func() {
		for wait(ctx, heartbeat) {
			for _, engine := range engines {
				register(engine)
			}
		}
	})
	var served, failed, joined atomic.Int64
	consumer := func(number int) {
		first := newAttempt()
		machine := platform.machines[number%len(platform.machines)]
		prompt := fmt.Sprintf("X-Prefix-Hash: %08x:100,%08x:200", number%20, 1000+number)
		got := ask(context.Background(), machine.front, "POST", "/chat/1", first, "body", streamLimit, prompt, "X-Model-Name: m", "X-Token-Usage: 300,240")
		last, versions := events(got.body)
		record.printf("consumer %s at %s: %d, events to %d, versions %v, %v", first, machine.name, got.status, last, versions, got.err)
		if last > 0 && last < streamEvents { // taken up again at another machine
			again := newAttempt()
			machine = platform.machines[(number+1)%len(platform.machines)]
			got = ask(context.Background(), machine.front, "POST", "/chat/1", again, "body", streamLimit, prompt, "X-Model-Name: m", "X-Token-Usage: 300,240", "Resumes: "+first, "Last-Event-Id: "+strconv.Itoa(last))
			further, more := events(got.body)
			record.printf("consumer %s goes on with %s at %s: %d, events to %d, versions %v, %v", first, again, machine.name, got.status, further, more, got.err)
			last, versions = max(last, further), append(versions, more...)
		}
		if last == streamEvents {
			served.Add(1)
		} else {
			failed.Add(1)
		}
		slices.Sort(versions)
		if len(slices.Compact(versions)) > 1 {
			joined.Add(1)
			record.printf("the stream of consumer %s holds events of two versions", first)
		}
	}
	background.Go(func() {
		for number := 0; wait(ctx, streamInterval); number++ {
			streams.Go(func() { consumer(number) })
		}
	})
	restart := func(engine *engine) {
		record.printf("replica %s crashes", engine.id)
		engine.crash()
		wait(ctx, restartTime)
		if err := engine.start("v2"); err != nil {
			record.printf("%v", err)
			return
		}
		record.printf("replica %s starts again as v2", engine.id)
		register(engine)
	}
	wait(ctx, 8*time.Second)
	if trouble {
		back := make(chan struct{})
		if outage {
			record.printf("the store is down")
			down.Store(true)
			platform.store.SetDown(true)
		}
		time.AfterFunc(storeOutage, func() {
			record.printf("the store is back")
			platform.store.SetDown(false)
			down.Store(false)
			close(back)
		})
		for wave := range waves {
			wait(ctx, 300*time.Millisecond)
			var crashed sync.WaitGroup
			for _, engine := range engines[wave*crashes : (wave+1)*crashes] {
				crashed.Go(func() { restart(engine) })
			}
			crashed.Wait()
			if wave < waves-1 {
				wait(ctx, betweenCrashes)
			}
		}
		<-back
	}
	wait(ctx, 6*time.Second)
	stop()
	background.Wait()
	streams.Wait()
	record.printf("streams: %d whole, %d not, %d hold events of two versions, %d may", served.Load(), failed.Load(), joined.Load(), maxJoined)
	fmt.Printf("streams: %d whole, %d not, %d hold events of two versions, %d may\n", served.Load(), failed.Load(), joined.Load(), maxJoined)
	return joined.Load() > maxJoined, nil
}
