package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const restartDelay = 500 * time.Millisecond // of the platform, after a process has ended

// daemon is one machine with its process.
type daemon struct {
	fleet                               *fleet
	name, zone                          string
	front, ready, directory, peer, file string
	store                               string // address at which it reaches the store

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	restarts bool // the platform starts the process again
	starts   int
	signals  []time.Time // SIGTERM and SIGKILL that it got
}

// ports gives out loopback addresses; each machine has one of its own.
var ports struct {
	mutex sync.Mutex
	next  int
}

// machine returns a loopback IP that no other machine of this run has.
func machine() string {
	ports.mutex.Lock()
	defer ports.mutex.Unlock()
	ports.next++
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()/250%200, os.Getpid()%250, ports.next)
}

// free returns a free port on the IP.
func free(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("port: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (fleet *fleet) addDaemon(zone string) *daemon {
	ip := machine()
	number := len(fleet.daemons) + 1
	added := &daemon{
		fleet: fleet, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, front: free(ip), ready: free(ip), directory: free(ip), peer: free(ip), store: fleet.store.address, restarts: true,
	}
	added.file = filepath.Join(fleet.folder, added.name+".ini")
	fleet.daemons = append(fleet.daemons, added)
	return added
}

// settings is what the platform makes of deploy/edge.ini.
func (daemon *daemon) settings() string {
	seeds := ""
	for i, other := range daemon.fleet.daemons {
		if i < 3 {
			if i > 0 {
				seeds += ","
			}
			seeds += other.peer
		}
	}
	return fmt.Sprintf(`[Edge]
Name = %s
DataCentre = %s
Front = %s
Ready = %s
Directory = %s
Peer = %s
Seeds = %s
Store = %s
MemoryMB = 284
Cores = 0.4
Grace = 8s

[Bounds]
RetryRatio = 0.2
RetrySlack = 52
RetryWindow = 10s
ColdOver = 1.5
ColdSlack = 5
DirectoryKeep = 5s
`, daemon.name, daemon.zone, daemon.front, daemon.ready, daemon.directory, daemon.peer, seeds, daemon.store)
}

// start starts the process with the command of the deploy file.
func (daemon *daemon) start() {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if err := os.WriteFile(daemon.file, []byte(daemon.settings()), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	command := exec.Command("target/catkincove", "edge")
	command.Env = []string{"CATKINCOVE_CONFIG=" + daemon.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	log, err := os.OpenFile(filepath.Join(daemon.fleet.folder, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("daemon: %v", err)
	}
	exited := make(chan struct{})
	daemon.command, daemon.exited = command, exited
	daemon.starts++
	daemon.fleet.record.add("start %s", daemon.name)
	go func() {
		err := command.Wait()
		_ = log.Close()
		daemon.fleet.record.add("exit %s: %v", daemon.name, err)
		close(exited)
		time.Sleep(restartDelay)
		daemon.mutex.Lock()
		again := daemon.restarts
		daemon.mutex.Unlock()
		if again {
			daemon.start()
		}
	}()
}

func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.signals = append(daemon.signals, time.Now())
	daemon.fleet.record.add("signal %s: %v", daemon.name, signal)
	if daemon.command != nil {
		_ = daemon.command.Process.Signal(signal)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period; the platform starts the process again.
func (daemon *daemon) stop() {
	daemon.mutex.Lock()
	command, exited := daemon.command, daemon.exited
	daemon.mutex.Unlock()
	daemon.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(8 * time.Second):
			_ = command.Process.Kill()
		}
	}()
}

// signalled reports whether the daemon got a signal between the times.
func (daemon *daemon) signalled(from, to time.Time) bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	for _, at := range daemon.signals {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// end ends the process for good.
func (daemon *daemon) end() {
	daemon.mutex.Lock()
	daemon.restarts = false
	command, exited := daemon.command, daemon.exited
	daemon.mutex.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

func (daemon *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + daemon.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// look asks a daemon for the addresses of the fleet.
func (daemon *daemon) look() []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + daemon.directory + "/-/resolve?name=" + host + "&region=luzon&zone=" + daemon.zone)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	var answer struct{ Addresses []string }
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return nil
	}
	return answer.Addresses
}
