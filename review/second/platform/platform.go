package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"catkincove/platform/stand"
)

const (
	host         = "desk.example"
	key          = "key-of-fans"
	heartbeat    = 1200 * time.Millisecond
	restartDelay = 300 * time.Millisecond // a process that has ended is started again after a short delay
	readyTimeout = 20 * time.Second
)

var zones = []string{"luzon-a", "luzon-b", "luzon-c"}

// platform is the users' platform as the pages describe it: the store, the replicas' registrations, and the processes, which it starts again when they have
// ended and kills when they exceed the memory of their machine.
type platform struct {
	record   *record
	store    *stand.Store
	folder   string
	memoryMB int
	ctx      context.Context
	stop     context.CancelFunc
	group    sync.WaitGroup
	replicas []*replica
	machines []*machine
}

type replica struct {
	*stand.Target
	service, zone string
	sequence      int
}

// machine runs one daemon.
type machine struct {
	platform                      *platform
	name, settings                string
	front, ready, directory, peer string

	mutex   sync.Mutex
	command *exec.Cmd
	over    int // times at which the process was killed because it exceeded the memory of its machine
	peakKB  int
}

func newPlatform(record *record, memoryMB int) (*platform, error) {
	folder, err := os.MkdirTemp("", "review-fleet-")
	if err != nil {
		return nil, err
	}
	platform := &platform{record: record, store: stand.NewStore(), folder: folder, memoryMB: memoryMB}
	platform.ctx, platform.stop = context.WithCancel(context.Background())
	return platform, nil
}

// addReplica starts a replica and registers it.
func (platform *platform) addReplica(service string, behaviour stand.Behaviour) *replica {
	number := len(platform.replicas)
	added := &replica{Target: stand.NewTarget(fmt.Sprintf("i-%08x", 0x7f3a91c2+number), behaviour), service: service, zone: zones[number%len(zones)]}
	added.Observer = stand.Observer{RequestStarted: func(received stand.ReceivedRequest) func() {
		platform.record.printf("replica %s runs %s", added.ID, received.Attempt)
		return func() {}
	}}
	platform.replicas = append(platform.replicas, added)
	platform.register(added)
	return added
}

func (platform *platform) register(replica *replica) {
	replica.sequence++
	platform.store.Put("servers/"+replica.ID, replica.Registration(replica.service, replica.zone, "ready", replica.sequence))
}

func (platform *platform) heartbeats() {
	for platform.sleep(heartbeat) {
		for _, replica := range platform.replicas {
			platform.register(replica)
		}
	}
}

func (platform *platform) sleep(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-platform.ctx.Done():
		return false
	}
}

// startMachines starts the daemons and waits until all are ready.
func (platform *platform) startMachines(count int) error {
	var seeds []string
	for i := range count {
		listeners := make([]net.Listener, 4)
		addresses := make([]string, 4)
		for j := range listeners {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 10+os.Getpid()%200, 1+i))
			if err != nil {
				return err
			}
			listeners[j], addresses[j] = listener, listener.Addr().String()
		}
		for _, listener := range listeners {
			_ = listener.Close()
		}
		machine := &machine{platform: platform, name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), front: addresses[0], ready: addresses[1], directory: addresses[2], peer: addresses[3]}
		machine.settings = filepath.Join(platform.folder, machine.name+".ini")
		platform.machines, seeds = append(platform.machines, machine), append(seeds, machine.peer)
	}
	for i, machine := range platform.machines {
		text := fmt.Sprintf("[Edge]\nName = %s\nDataCentre = %s\nFront = %s\nReady = %s\nDirectory = %s\nPeer = %s\nSeeds = %s\nStore = %s\nMemoryMB = %d\nDescriptors = 4100\nCores = 0.4\nGrace = 8s\n\n"+
			"[Bounds]\nRetryRatio = 0.2\nRetrySlack = 52\nRetryWindow = 10s\nColdOver = 1.5\nColdSlack = 5\nDirectoryKeep = 5s\n",
			machine.name, zones[i%len(zones)], machine.front, machine.ready, machine.directory, machine.peer, strings.Join(seeds[:min(len(seeds), 3)], ","), platform.store.Address(), platform.memoryMB)
		if err := os.WriteFile(machine.settings, []byte(text), 0o600); err != nil {
			return err
		}
		platform.group.Go(machine.keepRunning)
	}
	platform.group.Go(platform.heartbeats)
	for _, machine := range platform.machines {
		for deadline := time.Now().Add(readyTimeout); !machine.isReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", machine.name)
			}
		}
	}
	time.Sleep(2 * time.Second) // the daemons meet
	return nil
}

// end stops all processes and servers.
func (platform *platform) end() {
	platform.stop()
	for _, machine := range platform.machines {
		machine.signal(syscall.SIGCONT)
		machine.signal(syscall.SIGKILL)
	}
	platform.group.Wait()
	for _, replica := range platform.replicas {
		replica.Close()
	}
	platform.store.Close()
	_ = os.RemoveAll(platform.folder)
}

// keepRunning starts the process of the machine whenever it does not run.
func (machine *machine) keepRunning() {
	platform := machine.platform
	runtime.LockOSThread() // the process ends with the thread that has started it
	for platform.ctx.Err() == nil {
		command := exec.Command("target/catkincove", "edge", "--config", machine.settings)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINCOVE_CONFIG=" + machine.settings}
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		log, err := os.OpenFile(machine.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			platform.record.printf("%s: %v", machine.name, err)
			return
		}
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			platform.record.printf("%s: %v", machine.name, err)
			_ = log.Close()
			return
		}
		machine.mutex.Lock()
		machine.command = command
		machine.mutex.Unlock()
		platform.record.printf("%s starts", machine.name)
		ended := make(chan struct{})
		watched := make(chan struct{})
		go func() { machine.watchMemory(command.Process.Pid, ended); close(watched) }()
		err = command.Wait()
		close(ended)
		<-watched
		_ = log.Close()
		if platform.ctx.Err() == nil {
			platform.record.printf("%s ends: %v", machine.name, err)
		}
		platform.sleep(restartDelay)
	}
}

// watchMemory kills the process when its resident memory exceeds the memory of its machine.
func (machine *machine) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kilobytes := residentKB(pid)
		machine.mutex.Lock()
		machine.peakKB = max(machine.peakKB, kilobytes)
		exceeded := kilobytes > machine.platform.memoryMB<<10
		if exceeded {
			machine.over++
		}
		machine.mutex.Unlock()
		if exceeded {
			machine.platform.record.printf("%s holds %d KB of %d KB; the platform kills it", machine.name, kilobytes, machine.platform.memoryMB<<10)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, line, found := strings.Cut(string(text), "VmRSS:")
	if !found {
		return 0
	}
	kilobytes, _ := strconv.Atoi(strings.Fields(line)[0])
	return kilobytes
}

func (machine *machine) signal(signal syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

func (machine *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + machine.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// writeConfig writes the configuration as the operator does.
func (platform *platform) writeConfig(version int, routes, services []any) {
	platform.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "fans", "api-keys": []string{key}, "priority": 1}},
	})
}

func route(name, kind, service string, more map[string]any) map[string]any {
	added := map[string]any{
		"name": "r-" + name, "hostname": host, "path-prefix": "/" + name + "/", "kind": kind, "service": service, "timeout-ms": 1500, "target-latency-ms": 300, "priority": 2, "max-attempts": 1,
		"public": false, "sticky": false, "resumable": false,
	}
	for name, value := range more {
		added[name] = value
	}
	return added
}

func service(name string, more map[string]any) map[string]any {
	added := map[string]any{"name": name, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
	for name, value := range more {
		added[name] = value
	}
	return added
}
