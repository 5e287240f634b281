package proof

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"catkincove/stand/fault"
)

// switchboard listens at the address that a daemon advertises and passes each connection through a proxy of its own for
// each dialling daemon, so that faults can be set between any two daemons and in one direction.
//
// Daemons do not bind the sockets they dial with; the process that dials is found through /proc.
type switchboard struct {
	fleet    *fleet
	listener net.Listener
	front    *fault.Proxy
	mutex    sync.Mutex
	links    map[string]*fault.Proxy // by name of the dialling daemon
}

func (fleet *fleet) newSwitchboard(front *fault.Proxy) *switchboard {
	fleet.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	board := &switchboard{fleet: fleet, listener: listener, front: front, links: map[string]*fault.Proxy{}}
	fleet.t.Cleanup(func() { _ = listener.Close() })
	go board.accept()
	return board
}

func (board *switchboard) accept() {
	for {
		down, err := board.listener.Accept()
		if err != nil {
			return
		}
		go board.pass(down)
	}
}

func (board *switchboard) pass(down net.Conn) {
	defer func() { _ = down.Close() }()
	from, known := board.fleet.dialler(down.RemoteAddr().String() + " " + down.LocalAddr().String())
	if !known {
		return
	}
	target := board.front.Address()
	if from != "" {
		target = board.link(from).Address()
	}
	up, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pump(up, down)
	go pump(down, up)
	<-done
}

// link returns the proxy for connections of the daemon with the name.
func (board *switchboard) link(from string) *fault.Proxy {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if board.links[from] == nil {
		board.links[from] = board.fleet.proxy(board.front.Address())
	}
	return board.links[from]
}

// sockets is who holds which TCP socket of this machine, by its own and the other address: the system gives one local
// port to several connections with different destinations.
type sockets struct {
	mutex sync.Mutex
	taken time.Time
	names map[string]string
}

// dialler returns the name of the daemon whose socket has the addresses, and nothing for the test process.
//
// A read of /proc/net/tcp can miss a socket while others come and go, so that it is repeated.
func (fleet *fleet) dialler(addresses string) (name string, known bool) {
	const tries = 10
	for range tries {
		if name, known = fleet.sockets.find(fleet, addresses, time.Now()); known {
			return name, true
		}
	}
	return "", false
}

// find uses a table that was read after the connection came; connections that come together share one.
func (sockets *sockets) find(fleet *fleet, addresses string, came time.Time) (string, bool) {
	const pause = 10 * time.Millisecond // keeps the processor free when many connections are refused
	sockets.mutex.Lock()
	defer sockets.mutex.Unlock()
	if sockets.taken.Before(came) {
		time.Sleep(pause)
		sockets.taken = time.Now()
		sockets.names = fleet.socketNames()
	}
	name, known := sockets.names[addresses]
	return name, known
}

func (fleet *fleet) socketNames() map[string]string {
	fleet.mutex.Lock()
	processes := map[string]int{"": os.Getpid()}
	for _, daemon := range fleet.daemons {
		processes[daemon.name] = daemon.command.Process.Pid
	}
	fleet.mutex.Unlock()
	sockets := socketAddresses()
	names := map[string]string{}
	for name, process := range processes {
		folder := fmt.Sprintf("/proc/%d/fd", process)
		files, _ := os.ReadDir(folder)
		for _, file := range files {
			link, _ := os.Readlink(filepath.Join(folder, file.Name()))
			if addresses, found := sockets[link]; found {
				names[addresses] = name
			}
		}
	}
	return names
}

// socketAddresses returns both addresses of each IPv4 TCP socket by its name in /proc/PID/fd.
func socketAddresses() map[string]string {
	addresses := map[string]string{}
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 9 {
			addresses["socket:["+fields[9]+"]"] = readAddress(fields[1]) + " " + readAddress(fields[2])
		}
	}
	return addresses
}

func readAddress(text string) string {
	var a, b, c, d byte
	var port int
	_, _ = fmt.Sscanf(text, "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port)
	return fmt.Sprintf("%d.%d.%d.%d:%d", a, b, c, d, port)
}

// cutOff separates a daemon from the store and from all other daemons; callers still reach it at its front.
func (fleet *fleet) cutOff(daemon *process, mode fault.Mode) {
	_ = daemon.store.SetMode(mode)
	for _, other := range fleet.daemons {
		if other != daemon {
			_ = other.board.link(daemon.name).SetMode(mode)
			_ = daemon.board.link(other.name).SetMode(mode)
		}
	}
}
