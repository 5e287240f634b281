package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/platform/stand"
)

const (
	crowdSize     = 300 // channels of clients out of control at each machine; its processes may have 4,100 descriptors
	crowdDuration = 30 * time.Second
	crowdChunk    = 16 << 10
	crowdMachines = 3
	machineMemory = 284 // MB, as on the sheet of sgbp-orders
	memoryEnds    = 3   // ends of a machine's processes that count
)

// headWithoutEnd returns the n-th chunk of a head that never ends: header lines of a few bytes, no two with one name.
func headWithoutEnd(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var text strings.Builder
	if n == 0 {
		text.WriteString("GET /status/1 HTTP/1.1\r\nHost: " + host + "\r\n")
	}
	for i := n * crowdChunk / 6; text.Len() < crowdChunk; i++ {
		text.WriteByte(letters[i/36/36%26])
		text.WriteByte(letters[i/36%36])
		text.WriteByte(letters[i%36])
		text.WriteString(":\r\n")
	}
	return text.String()
}

// crowd keeps channels open on which it sends heads without end, and opens them again when they are closed.
func crowd(ctx context.Context, address string, chunks []string) {
	var group sync.WaitGroup
	for range crowdSize {
		group.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
					for i := 0; err == nil && ctx.Err() == nil; i++ {
						if i < len(chunks) {
							_, err = conn.Write([]byte(chunks[i]))
							continue
						}
						_, err = conn.Write([]byte("x")) // a line that goes on
						time.Sleep(200 * time.Millisecond)
					}
					stop()
					_ = conn.Close()
				}
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	group.Wait()
}

// playMemory has clients out of control send heads without end to all machines beside ordinary consumers; it reports whether a rule was broken.
func playMemory(record *record, trouble bool) (broken bool, err error) {
	platform, err := newPlatform(record, machineMemory)
	if err != nil {
		return false, err
	}
	defer platform.end()
	for range 3 {
		platform.addReplica("talaan", stand.Behaviour{})
	}
	platform.writeConfig(7, []any{route("status", "safe", "talaan", map[string]any{"max-attempts": 2})}, []any{service("talaan", nil)})
	if err := platform.startMachines(crowdMachines); err != nil {
		return false, err
	}
	record.printf("all machines are ready")
	ctx, cancel := context.WithTimeout(context.Background(), crowdDuration)
	defer cancel()
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for i := range 12 {
		machine := platform.machines[i%len(platform.machines)]
		group.Go(func() {
			for ctx.Err() == nil {
				attempt := newAttempt()
				got := ask(context.Background(), machine.front, "GET", "/status/1", attempt, "", 3*time.Second)
				if got.status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				record.printf("consumer %s at %s: %d %v", attempt, machine.name, got.status, got.err)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	if trouble {
		chunks := []string{headWithoutEnd(0), headWithoutEnd(1), headWithoutEnd(2), headWithoutEnd(3)[:crowdChunk-2<<10]}
		time.Sleep(2 * time.Second)
		for _, machine := range platform.machines {
			record.printf("%d clients out of control begin at %s", crowdSize, machine.name)
			group.Go(func() { crowd(ctx, machine.front, chunks) })
		}
	}
	group.Wait()
	ended := 0
	for _, machine := range platform.machines {
		machine.mutex.Lock()
		record.printf("%s: peak %d KB of %d KB, ended %d times for its memory", machine.name, machine.peakKB, machineMemory<<10, machine.over)
		fmt.Printf("%s: peak %d KB of %d KB, ended %d times for its memory\n", machine.name, machine.peakKB, machineMemory<<10, machine.over)
		if machine.over >= memoryEnds {
			ended++
		}
		machine.mutex.Unlock()
	}
	record.printf("ordinary consumers: %d served, %d not", served.Load(), failed.Load())
	fmt.Printf("ordinary consumers: %d served, %d not\n", served.Load(), failed.Load())
	return ended >= 2, nil
}
