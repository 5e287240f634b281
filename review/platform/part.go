package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// playPart has a part of prompts crash each replica that begins an answer on it, at a service whose streams end with their channel. Sound requests share
// the first part and the key of those.
func playPart(fleet *fleet) (bool, string) {
	const count, bad = 6, "badc0de0"
	const contact = 3 * time.Second
	for i := range 6 {
		fleet.addDaemon([]string{"luzon-a", "luzon-b", "luzon-c"}[i%3])
	}
	for i := range count {
		replica := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", i), "kuwentuhan", fleet.daemons[i%3].zone, "v1")
		replica.events, replica.gap, replica.work = 13, 40*time.Millisecond, 150*time.Millisecond
		replica.coldFor = 3 * time.Second
		replica.unframed, replica.crashesOn = os.Getenv("FRAMED") == "", bad
	}
	route := map[string]any{
		"name": "catalogue-quote", "hostname": host, "path-prefix": "/quote/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1400, "priority": 0, "service": "kuwentuhan",
		"max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 500,
	}
	fleet.run(configuration([]any{route}, []any{engineService("kuwentuhan", 3, 11)}))
	began := time.Now()
	const calm, ends = 10 * time.Second, 34 * time.Second
	type first struct {
		at     time.Time
		begins bool
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var firsts []first
	number := 0
	fleet.flow(&group, 20, began.Add(ends), 0, func(int) question {
		number++
		return question{method: "POST", path: "/quote/2f", body: []byte(fmt.Sprintf("question %d", number)), limit: 6 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:2500,91bd%04x:3800,%016x:2890", number%40, number), tokens: "9190,52"}
	}, func(_ question, answers []answer) {
		mutex.Lock()
		defer mutex.Unlock()
		if len(answers) > 0 {
			firsts = append(firsts, first{at: time.Now(), begins: len(answers[0].versions) > 0})
		}
	})
	time.Sleep(calm)
	if fleet.trouble {
		fleet.record.add("requests with a part that crashes replicas come")
		fleet.flow(&group, 1, began.Add(ends), 1, func(number int) question {
			return question{method: "POST", path: "/quote/2f", body: []byte(fmt.Sprintf("bad question %d", number)), limit: 6 * time.Second,
				prompt: fmt.Sprintf("5c1e07a2:2500,%s:3800,ffff%012x:2890", bad, number), tokens: "9190,52"}
		}, func(question, []answer) {})
	}
	group.Wait()
	var crashes []time.Time
	for _, replica := range fleet.replicas {
		crashes = append(crashes, replica.crashes...)
	}
	from := began.Add(calm)
	for i, at := range sorted(crashes) {
		if i < 5 {
			from = at.Add(2 * contact) // after the fifth crash, or the last
		}
	}
	before, beganBefore, after, beganAfter := 0, 0, 0, 0
	for _, first := range firsts {
		switch {
		case first.at.Before(began.Add(calm)):
			before++
			beganBefore += count1(first.begins)
		case first.at.After(from) && first.at.Before(began.Add(ends)):
			after++
			beganAfter += count1(first.begins)
		}
	}
	shareBefore, shareAfter := float64(beganBefore)/float64(max(before, 1)), float64(beganAfter)/float64(max(after, 1))
	return shareAfter < shareBefore/2, fmt.Sprintf("LOST: %d crashes; %d of %d sound requests began at their first attempt before, %d of %d from 6 s after the fifth crash (or the last) on", len(crashes), beganBefore, before, beganAfter, after)
}

func count1(is bool) int {
	if is {
		return 1
	}
	return 0
}

func sorted(times []time.Time) []time.Time {
	for i := range times {
		for j := i; j > 0 && times[j].Before(times[j-1]); j-- {
			times[j], times[j-1] = times[j-1], times[j]
		}
	}
	return times
}
