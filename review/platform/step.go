package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playStep partitions one machine from the store while replicas of a second software version join, and kills half of the others, whose streams are taken
// up at the machines that are left.
func playStep(fleet *fleet) (bool, string) {
	for i := range 4 {
		fleet.addDaemon([]string{"luzon-a", "luzon-b", "luzon-c"}[i%3])
	}
	paths := map[*daemon]*link{}
	for _, daemon := range fleet.daemons {
		paths[daemon] = newLink(fleet.store.address)
		daemon.store = paths[daemon].address
	}
	add := func(number int, version string) *replica {
		replica := fleet.addReplica(fmt.Sprintf("i-7f3a91c%d", number), "kuwentuhan", fleet.daemons[number%3].zone, version)
		replica.events, replica.gap, replica.work = 40, 60*time.Millisecond, 50*time.Millisecond
		return replica
	}
	const serving, joining = 7, 3 // a release of a share of 0.43, whose new replicas start first
	for number := range serving {
		add(number, "v1")
	}
	route := map[string]any{
		"name": "parts-chat", "hostname": host, "path-prefix": "/chat/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 3100, "priority": 2, "service": "kuwentuhan",
		"max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 500,
	}
	fleet.run(configuration([]any{route}, []any{engineService("kuwentuhan", 0, 0)}))
	began := time.Now()
	const calm = 42 * time.Second // until all daemons know that the service has had one version for longer than a stream lasts

	var group sync.WaitGroup
	var mutex sync.Mutex
	streams, joined, whole := 0, 0, 0
	asked := atomic.Int64{}
	next := func(int) question {
		number := asked.Add(1)
		return question{method: "POST", path: "/chat/2f", body: []byte(fmt.Sprintf("question %d", number)), limit: 20 * time.Second,
			prompt: fmt.Sprintf("%08x:400,%016x:300", number, number), tokens: "700,160"}
	}
	done := func(_ question, answers []answer) {
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
		if events == 40 {
			whole++
		}
		if len(versions) > 1 {
			joined++
			fleet.record.add("stream of %s holds events of two versions", answers[0].attempt)
		}
	}
	fleet.flow(&group, 2, began.Add(calm), 3, next, done)
	time.Sleep(calm)
	var apart *daemon
	var killed []*daemon
	placer := fleet.pacer(nil) // the daemon that places the prompts of all; it stays
	for _, daemon := range fleet.daemons {
		switch {
		case daemon == placer:
		case apart == nil:
			apart = daemon
		default:
			killed = append(killed, daemon) // a share of 0.5
		}
	}
	path := paths[apart]
	if fleet.trouble {
		fleet.record.add("%s is partitioned from the store", apart.name)
		path.setCut(true)
		time.AfterFunc(5*time.Second, func() {
			path.setCut(false)
			fleet.record.add("the partition has ended")
		})
	}
	for number := serving; number < serving+joining; number++ { // planned work: a release begins
		replica := add(number, "v2")
		replica.listen()
		go replica.beat()
	}
	fleet.flow(&group, 200, time.Now().Add(5*time.Second), 3, next, done)
	if fleet.trouble {
		time.Sleep(1100 * time.Millisecond)
		for _, daemon := range killed {
			daemon.signal(syscall.SIGKILL)
		}
	}
	group.Wait()
	return joined > 2, fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions (2 allowed); %d are whole", joined, streams, whole)
}
