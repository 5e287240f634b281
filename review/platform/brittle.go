package main

import (
	"fmt"
	"sync"
	"time"
)

// playBrittle has the replicas of a service say that they are brittle, let fewer wait from 3 s later, and fall over when they have to turn too many away.
// Without the trouble they say nothing, and let as many wait as before. Many consumers come twice for some seconds in either case.
func playBrittle(fleet *fleet) (bool, string) {
	const (
		count, slots = 4, 4
		work         = 100 * time.Millisecond
		bound        = 4     // requests that a replica may turn away in a second
		usual        = 110.0 // requests a second; the replicas can run 160
		burst        = 1.7   // times as many
		waiting, few = 24, 1 // requests that a replica lets wait, before and after
		shrinks      = 3500 * time.Millisecond
		comes, stay  = 4500 * time.Millisecond, 6500 * time.Millisecond
		again        = 13 * time.Second
		ends         = 21 * time.Second
	)
	for i := range 6 {
		fleet.addDaemon([]string{"luzon-a", "luzon-b", "luzon-c"}[i%3])
	}
	for i := range count {
		replica := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", i), "talaan", fleet.daemons[i%3].zone, "v1")
		replica.slots, replica.queue, replica.work = slots, waiting, work
		if fleet.trouble {
			replica.brittle = bound
		}
	}
	routes := []any{
		map[string]any{"name": "order-book", "hostname": host, "path-prefix": "/book/", "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 2, "service": "talaan", "max-attempts": 2},
		map[string]any{"name": "order-status", "hostname": host, "path-prefix": "/status/", "kind": "safe", "timeout-ms": 3000, "target-latency-ms": 300, "priority": 2, "service": "talaan", "max-attempts": 2},
	}
	fleet.run(configuration(routes, []any{plainService("talaan")}))
	began := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	asked, served, lost := 0, 0, 0
	next := func(number int) question {
		if number%3 == 2 {
			return question{method: "GET", path: fmt.Sprintf("/status/%d", number), limit: 3 * time.Second}
		}
		return question{method: "POST", path: "/book/2f", body: []byte(fmt.Sprintf("order %d", number)), limit: 3 * time.Second}
	}
	done := func(question question, answers []answer) {
		mutex.Lock()
		defer mutex.Unlock()
		asked++
		for _, answer := range answers {
			switch {
			case answer.status == 200 && answer.complete:
				served++
			case question.method == "POST" && (answer.status == 502 || answer.status == 504):
				lost++
			}
		}
	}
	fleet.flow(&group, usual, began.Add(ends), 0, next, done)
	time.Sleep(shrinks)
	if fleet.trouble {
		for _, replica := range fleet.replicas {
			replica.mutex.Lock()
			replica.queue = few
			replica.mutex.Unlock()
		}
		fleet.record.add("the replicas let fewer wait")
	}
	for _, at := range []time.Duration{comes, again} {
		time.Sleep(time.Until(began.Add(at)))
		fleet.record.add("many consumers come")
		fleet.flow(&group, usual*(burst-1), began.Add(at+stay), 0, next, done)
	}
	group.Wait()
	falls := 0
	for _, replica := range fleet.replicas {
		replica.mutex.Lock()
		falls += len(replica.falls)
		replica.mutex.Unlock()
	}
	const allowed = 2 + 0.1*count
	return float64(falls) > allowed, fmt.Sprintf("LIMIT: %d brittle replicas fell over %d times (%.1f allowed); of %d requests %d were served, and %d orders that ran ended with 502 or 504", count, falls, allowed, asked, served, lost)
}
