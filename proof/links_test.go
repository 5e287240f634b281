package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"

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
	target := board.front.Address()
	if from := board.fleet.dialler(down.RemoteAddr().String()); from != "" {
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

// dialler returns the name of the daemon whose socket has the local address, or nothing.
func (fleet *fleet) dialler(address string) string {
	inode := socketInode(address)
	if inode == "" {
		return ""
	}
	fleet.mutex.Lock()
	daemons := append([]*process{}, fleet.daemons...)
	fleet.mutex.Unlock()
	for _, daemon := range daemons {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", daemon.command.Process.Pid))
		for _, file := range files {
			if name, err := os.Readlink(file); err == nil && name == "socket:["+inode+"]" {
				return daemon.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the TCP socket with the local IPv4 address, as /proc/net/tcp lists it.
func socketInode(address string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	host := tcp.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", host[3], host[2], host[1], host[0], tcp.Port)
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
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
