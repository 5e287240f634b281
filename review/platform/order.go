package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playOrder has two software versions serve side by side while the store is down without an answer and half of the daemons are killed. Consumers take
// their broken streams up again.
func playOrder(fleet *fleet) (bool, string) {
	for i := range 4 {
		fleet.addDaemon([]string{"luzon-a", "luzon-b", "luzon-c"}[i%3])
	}
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		replica := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", i), "kuwentuhan", fleet.daemons[i%3].zone, version)
		replica.events, replica.gap, replica.work = 70, 100*time.Millisecond, 100*time.Millisecond
	}
	route := map[string]any{
		"name": "parts-chat", "hostname": host, "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 3100, "priority": 2, "service": "kuwentuhan",
		"max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 500,
	}
	fleet.run(configuration([]any{route}, []any{engineService("kuwentuhan", 3, 11)}))
	began := time.Now()
	time.Sleep(8 * time.Second) // the daemons agree that streams at v1 need no record

	var group sync.WaitGroup
	var mutex sync.Mutex
	streams, joined, whole := 0, 0, 0
	fleet.flow(&group, 24, began.Add(17*time.Second), 3, func(number int) question {
		return question{method: "POST", path: "/chat/2f", body: []byte(fmt.Sprintf("question %d", number)), limit: 20 * time.Second, prompt: prompt(number%40, number), tokens: "9190,280"}
	}, func(_ question, answers []answer) {
		versions := map[string]bool{}
		events := 0
		for _, answer := range answers {
			for _, version := range answer.versions {
				versions[version] = true
				events++
			}
		}
		mutex.Lock()
		defer mutex.Unlock()
		streams++
		if events == 70 {
			whole++
		}
		if len(versions) > 1 {
			joined++
			fleet.record.add("stream of %s holds events of two versions", answers[0].attempt)
		}
	})
	if fleet.trouble {
		time.Sleep(time.Until(began.Add(12 * time.Second)))
		fleet.record.add("the store is down")
		fleet.store.setSilent(true)
		time.Sleep(3800 * time.Millisecond)
		for _, daemon := range fleet.daemons[:2] { // a share of 0.5
			daemon.signal(syscall.SIGKILL)
		}
		time.Sleep(700 * time.Millisecond)
		fleet.record.add("the store is back")
		fleet.store.setSilent(false)
	}
	group.Wait()
	return joined > 2, fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions (2 allowed); %d are whole", joined, streams, whole)
}
