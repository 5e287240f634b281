package main

import (
	"net"
	"sync"
	"time"
)

// resetAfter is the time after which the kernel of a machine ends a channel whose other side has fallen silent, by the limits that daemons set.
const resetAfter = 2 * time.Second

// link is the path of one machine to the store.
type link struct {
	address, target string

	mutex    sync.Mutex
	cut      bool
	channels map[net.Conn]bool // whether the channel is silenced
}

func newLink(target string) *link {
	link := &link{address: free(machine()), target: target, channels: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", link.address)
	if err != nil {
		cannotRun("link: %v", err)
	}
	go func() {
		for {
			channel, err := listener.Accept()
			if err != nil {
				return
			}
			go link.serve(channel)
		}
	}()
	return link
}

func (link *link) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", link.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	link.mutex.Lock()
	link.channels[near] = link.cut
	if link.cut {
		link.expire(near)
	}
	link.mutex.Unlock()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			count, err := from.Read(buffer)
			link.mutex.Lock()
			silenced := link.channels[near]
			link.mutex.Unlock()
			if count > 0 && !silenced {
				_, _ = to.Write(buffer[:count])
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(far, near)
	go pump(near, far)
	<-done
	link.mutex.Lock()
	delete(link.channels, near)
	link.mutex.Unlock()
}

// expire resets a silenced channel as its machine's kernel does; the mutex must be held.
func (link *link) expire(channel net.Conn) {
	time.AfterFunc(resetAfter, func() {
		if tcp, is := channel.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = channel.Close()
	})
}

// setCut partitions the machine from the store, or ends the partition; channels that it silenced stay silent.
func (link *link) setCut(cut bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.cut = cut
	if cut {
		for channel := range link.channels {
			link.channels[channel] = true
			link.expire(channel)
		}
	}
}
