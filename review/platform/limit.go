package main

import (
	"fmt"
	"sync"
	"time"
)

// playLimit has both replicas of a service name a Server-Limit while consumers ask for more, and stops daemons in turn, first the one that paces the replicas.
func playLimit(fleet *fleet) (bool, string) {
	const rate, load, stops, gap = 20.0, 90.0, 2, 1300 * time.Millisecond
	for i := range 8 {
		fleet.addDaemon([]string{"at-ost-a", "at-ost-b", "at-ost-c"}[i%3])
	}
	for i := range 2 {
		replica := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", i), "sprachdienst", fleet.daemons[i].zone, "v1")
		replica.events, replica.gap, replica.work = 6, 30*time.Millisecond, 50*time.Millisecond
	}
	route := map[string]any{
		"name": "condition-summary", "hostname": host, "path-prefix": "/summary/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 2700, "priority": 2, "service": "sprachdienst",
		"max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 500,
	}
	fleet.run(configuration([]any{route}, []any{engineService("sprachdienst", 3, 11)}))
	began := time.Now()
	var group sync.WaitGroup
	fleet.flow(&group, load, began.Add(20*time.Second), 0, func(number int) question {
		return question{method: "POST", path: "/summary/2f", body: []byte(fmt.Sprintf("question %d", number)), limit: 6 * time.Second, prompt: prompt(number%40, number), tokens: "9190,24"}
	}, func(question, []answer) {})
	time.Sleep(3 * time.Second)
	named := time.Now()
	for _, replica := range fleet.replicas {
		replica.mutex.Lock()
		replica.limit = rate
		replica.mutex.Unlock()
	}
	fleet.record.add("both replicas name a limit of %v", rate)
	time.Sleep(7 * time.Second)
	var stopped []*daemon
	if fleet.trouble {
		for range stops {
			// the machine whose daemon paces the replicas; the pages call it the one that gave the last order
			daemon := fleet.pacer(stopped)
			daemon.stop()
			stopped = append(stopped, daemon)
			time.Sleep(gap)
		}
	}
	group.Wait()
	most, of, at := 0, "", time.Time{}
	for _, replica := range fleet.replicas {
		var counted []arrival
		for _, arrival := range replica.list() {
			daemon := fleet.takenBy[arrival.attempt]
			excused := false
			for _, other := range stopped {
				excused = excused || other.name == daemon
			}
			if arrival.at.After(named.Add(3*time.Second)) && !excused {
				counted = append(counted, arrival)
			}
		}
		for i := range counted {
			first := i
			for first > 0 && counted[i].at.Sub(counted[first-1].at) < 4*time.Second {
				first--
			}
			if count := i - first + 1; count > most {
				most, of, at = count, replica.id, counted[first].at
			}
		}
	}
	bound := 1.5*rate*4 + 5
	return float64(most) > bound, fmt.Sprintf("LIMIT: replica %s got %d requests in the 4 s from %.1f s (%.0f allowed), from daemons that were not stopped", of, most, at.Sub(fleet.record.began).Seconds(), bound)
}
