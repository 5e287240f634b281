package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/platform/stand"
)

const (
	partsHeadBytes = 60_000 // of a head over the limit; the configuration's max-header-bytes is 16,384
	partsClients   = 6      // channels of clients out of control
	partsDuration  = 40 * time.Second
	statusTimeout  = 1500 * time.Millisecond // of the route, as on the sheet of sgbp-orders
	statusLimit    = 3 * time.Second         // of the consumers, as on that sheet
	lateSlack      = 500 * time.Millisecond
)

// manyParts returns the header of a prompt of very many short parts, the n-th of its kind.
func manyParts(n int) string {
	var text strings.Builder
	text.WriteString("X-Prefix-Hash: ")
	for i := 0; text.Len() < partsHeadBytes; i++ {
		fmt.Fprintf(&text, "%x:1,", 1<<24+n*partsHeadBytes/10+i)
	}
	text.WriteString("ab:1,cd:1")
	return text.String()
}

// playParts has clients out of control send heads over the limit, with prompts of very many parts, beside ordinary consumers; it reports whether requests of these
// that are unanswered at the timeout of their route stay so.
func playParts(record *record, trouble bool) (broken bool, err error) {
	platform, err := newPlatform(record, machineMemory)
	if err != nil {
		return false, err
	}
	defer platform.end()
	for range 4 {
		platform.addReplica("kuwentuhan", stand.Behaviour{Events: 6, EventGap: 20 * time.Millisecond})
	}
	for range 3 {
		platform.addReplica("talaan", stand.Behaviour{})
	}
	platform.writeConfig(7, []any{
		route("status", "safe", "talaan", map[string]any{"max-attempts": 2, "timeout-ms": statusTimeout.Milliseconds()}),
		route("quote", "streaming", "kuwentuhan", map[string]any{"timeout-ms": 6000, "target-latency-ms": 1400, "max-attempts": 2, "resumable": true, "gap-aim-ms": 500, "sticky": true, "priority": 0}),
	}, []any{service("talaan", nil), service("kuwentuhan", map[string]any{"engine": map[string]any{"slots": 64, "kv-capacity": 341995}})})
	if err := platform.startMachines(3); err != nil {
		return false, err
	}
	record.printf("all machines are ready")
	ctx, cancel := context.WithTimeout(context.Background(), partsDuration)
	defer cancel()
	var group sync.WaitGroup
	var answered, atTimeout, later, sent atomic.Int64
	for i := range 15 {
		machine := platform.machines[i%len(platform.machines)]
		group.Go(func() {
			for ctx.Err() == nil {
				attempt := newAttempt()
				began := time.Now()
				got := ask(context.Background(), machine.front, "GET", "/status/1", attempt, "", statusLimit)
				took := time.Since(began)
				record.printf("consumer %s at %s: %d after %v %v", attempt, machine.name, got.status, took.Round(time.Millisecond), got.err)
				if got.status != 0 {
					answered.Add(1)
				}
				if took > statusTimeout {
					atTimeout.Add(1)
					if took > statusTimeout+lateSlack || got.status == 0 {
						later.Add(1)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	if trouble {
		time.Sleep(2 * time.Second)
		record.printf("%d clients out of control begin", partsClients)
		for i := range partsClients {
			machine := platform.machines[i%len(platform.machines)]
			group.Go(func() {
				for ctx.Err() == nil {
					attempt := newAttempt()
					number := int(sent.Add(1))
					got := ask(ctx, machine.front, "POST", "/quote/1", attempt, "body", 6*time.Second, "X-Model-Name: m", "X-Token-Usage: 8000,24", manyParts(number))
					record.printf("client out of control %s at %s: %d %v", attempt, machine.name, got.status, got.err)
					wait(ctx, 50*time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	record.printf("ordinary consumers: %d answered, %d unanswered at the timeout of their route, %d of these half a second later; %d requests out of control", answered.Load(), atTimeout.Load(), later.Load(), sent.Load())
	fmt.Printf("ordinary consumers: %d answered, %d unanswered at the timeout of their route, %d of these half a second later; %d requests out of control\n", answered.Load(), atTimeout.Load(), later.Load(), sent.Load())
	return later.Load() >= 8 && 2*later.Load() > atTimeout.Load(), nil
}
