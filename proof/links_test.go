package proof

import (
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"

	"catkincove/stand/fault"
)

// linkRouter listens at the address that a daemon advertises and forwards each connection through a proxy that belongs
// to the dialling daemon, so that faults can be injected between any two daemons and in one direction.
//
// Daemons do not bind the sockets they dial with, so that the dialling process is looked up by the inode of its socket.
type linkRouter struct {
	fleet    *fleet
	listener net.Listener
	front    *fault.Proxy
	mutex    sync.Mutex
	links    map[string]*fault.Proxy // proxies by name of the dialling daemon
}

func (fleet *fleet) newLinkRouter(front *fault.Proxy) *linkRouter {
	fleet.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fleet.t.Fatal(err)
	}
	router := &linkRouter{fleet: fleet, listener: listener, front: front, links: map[string]*fault.Proxy{}}
	fleet.t.Cleanup(func() { _ = listener.Close() })
	go router.accept()
	return router
}

func (router *linkRouter) accept() {
	for {
		down, err := router.listener.Accept()
		if err != nil {
			return
		}
		go router.forward(down)
	}
}

func (router *linkRouter) forward(down net.Conn) {
	defer func() { _ = down.Close() }()
	from, known := router.fleet.dialler(addressPort(down.RemoteAddr()), addressPort(down.LocalAddr()))
	if !known {
		return
	}
	target := router.front.Address()
	if from != "" {
		target = router.link(from).Address()
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

// link returns the proxy for connections from the daemon with the name.
func (router *linkRouter) link(from string) *fault.Proxy {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.links[from] == nil {
		router.links[from] = router.fleet.proxy(router.front.Address())
	}
	return router.links[from]
}

// dialler returns the name of the daemon that has the socket, or "" for the test process; known is false when no process
// has it.
func (fleet *fleet) dialler(local, remote netip.AddrPort) (name string, known bool) {
	inode, err := socketInode(local, remote)
	if err != nil {
		return "", false
	}
	fleet.mutex.Lock()
	daemons := slices.Clone(fleet.daemons)
	fleet.mutex.Unlock()
	for _, daemon := range daemons {
		if hasSocket(daemon.command.Process.Pid, inode) {
			return daemon.name, true
		}
	}
	return "", hasSocket(os.Getpid(), inode)
}

func addressPort(address net.Addr) netip.AddrPort { return address.(*net.TCPAddr).AddrPort() }

// isolate applies the fault mode to the links of a daemon to the store and to all other daemons; callers still reach it
// through its front proxy.
func (fleet *fleet) isolate(daemon *process, mode fault.Mode) {
	_ = daemon.store.SetMode(mode)
	for _, other := range fleet.daemons {
		if other != daemon {
			_ = other.router.link(daemon.name).SetMode(mode)
			_ = daemon.router.link(other.name).SetMode(mode)
		}
	}
}
