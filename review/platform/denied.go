package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playDenied has replicas lose answers for some seconds while many consumers of a tenant ask for the same thing.
func playDenied(fleet *fleet) (bool, string) {
	const count, lossy, share = 5, 3, 0.4
	for i := range 6 {
		fleet.addDaemon([]string{"luzon-a", "luzon-b", "luzon-c"}[i%3])
	}
	var losing sync.Map
	for i := range count {
		added := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", i), "talaan", fleet.daemons[i%3].zone, "v1")
		added.slots, added.queue, added.work = 6, 24, 60*time.Millisecond
		if i < lossy {
			added.lose = func(*replica, *http.Request) bool {
				_, on := losing.Load("on")
				return on && rand.Float64() < share
			}
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
	asked, denied := 0, 0
	fleet.flow(&group, 12, began.Add(45*time.Second), 0, func(number int) question {
		if number%3 == 0 {
			return question{method: "POST", path: "/book/2f", body: []byte(fmt.Sprintf("order %d", number)), limit: 3 * time.Second}
		}
		path := fmt.Sprintf("/status/%d", number)
		if rand.Float64() < 0.28 {
			path = "/status/2f" // one thing gets much of the traffic
		}
		return question{method: "GET", path: path, limit: 3 * time.Second}
	}, func(question question, answers []answer) {
		mutex.Lock()
		defer mutex.Unlock()
		asked++
		for _, answer := range answers {
			if answer.seal == "" && answer.status >= 300 && answer.status < 500 && !strings.Contains(" 408 421 429 ", fmt.Sprint(answer.status)) {
				denied++
			}
		}
	})
	time.Sleep(4 * time.Second)
	if fleet.trouble {
		fleet.record.add("replicas lose answers")
		losing.Store("on", true)
		time.Sleep(6 * time.Second)
		losing.Delete("on")
		fleet.record.add("replicas lose no answers any more")
	}
	group.Wait()
	allowed := 5 + float64(asked)/500
	return float64(denied) > allowed, fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx of the daemons' own (%.1f allowed)", denied, asked, allowed)
}
