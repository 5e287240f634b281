package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	host = "desk.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// exit codes of a script
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// cannotRun ends the script because the case couldn't run.
func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	finish(codeNotRun)
}

var (
	cleanMutex sync.Mutex
	clean      []func()
)

// finish ends all processes and exits.
func finish(code int) {
	cleanMutex.Lock()
	for i := len(clean) - 1; i >= 0; i-- {
		clean[i]()
	}
	os.Exit(code)
}

func atEnd(function func()) {
	cleanMutex.Lock()
	defer cleanMutex.Unlock()
	clean = append(clean, function)
}

// fleet is a small deployment.
type fleet struct {
	folder   string
	record   *record
	trouble  bool
	store    *store
	daemons  []*daemon
	replicas []*replica

	mutex     sync.Mutex
	addresses []string // newest answer of the directory
	takenBy   map[string]string
	number    int
}

func newFleet(folder, recordPath string, trouble bool) *fleet {
	record := newRecord(recordPath)
	atEnd(record.close)
	fleet := &fleet{folder: folder, record: record, trouble: trouble, takenBy: map[string]string{}}
	fleet.store = newStore(free(machine()))
	record.add("trouble %v", trouble)
	return fleet
}

// run starts the replicas, writes the configuration, and starts the daemons.
func (fleet *fleet) run(config map[string]any) {
	for _, replica := range fleet.replicas {
		replica.listen()
		go replica.beat()
	}
	fleet.store.write("op/config", config)
	for _, daemon := range fleet.daemons {
		atEnd(daemon.end)
		daemon.start()
	}
	for _, daemon := range fleet.daemons {
		for deadline := time.Now().Add(15 * time.Second); !daemon.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", daemon.name)
			}
		}
	}
	fleet.record.add("all daemons are ready")
	fleet.lookUp()
	go func() {
		for range time.Tick(time.Second) {
			fleet.lookUp()
		}
	}()
}

// lookUp asks the directory at up to three daemons, one after the other.
func (fleet *fleet) lookUp() {
	order := slices.Clone(fleet.daemons)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, daemon := range order[:min(3, len(order))] {
		if addresses := daemon.look(); len(addresses) > 0 {
			fleet.mutex.Lock()
			fleet.addresses = addresses
			fleet.mutex.Unlock()
			return
		}
	}
}

// byFront returns the daemon at a front address.
func (fleet *fleet) byFront(address string) *daemon {
	for _, daemon := range fleet.daemons {
		if daemon.front == address {
			return daemon
		}
	}
	return nil
}

func (fleet *fleet) nextAttempt() string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.number++
	return fmt.Sprintf("9c41d07b%08x", fleet.number)
}

// limits that every configuration here states, as on the pages.
var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

func configuration(routes, services []any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes, "services": services, "limits": limits,
		"tenants": []any{map[string]any{"name": "bozi300", "api-keys": []any{key}, "priority": 1}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
}

func engineService(name string, coldFor, coldRate float64) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "cold-start-s": coldFor, "cold-per-s": coldRate,
		"engine": map[string]any{"slots": 64, "kv-capacity": 341995, "kv-token-bytes": 327680, "link-mbps": 190000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []any{map[string]any{"name": "m"}}},
	}
}
