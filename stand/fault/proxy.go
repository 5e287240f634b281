package fault

import (
	"net"
	"sync"
	"time"

	"catkincove/stand/wire"
)

// Mode is the fault that the proxy injects into connections.
type Mode string

// The modes; a silenced connection stays silent until it is closed or cut, also when the mode changes.
const (
	Pass      Mode = "Pass"
	Cut       Mode = "Cut"       // resets the open connections and refuses new ones
	Silent    Mode = "Silent"    // discards the data of the open connections; new ones work
	SilentAll Mode = "SilentAll" // discards the data of the open and the new connections
	Delay     Mode = "Delay"     // delays each chunk of data by the delay of the rule
	Refuse    Mode = "Refuse"    // refuses new connections; the open ones work
	Partition Mode = "Partition" // discards the data of the open connections; new ones hang before they are established
)

// Direction selects one direction of data through the proxy, or both.
type Direction string

// The directions; the zero value is both.
const (
	Both Direction = ""
	Up   Direction = "Up"   // data from the dialling side to the target
	Down Direction = "Down" // data from the target to the dialling side
)

// Rule is a mode with its parameters.
type Rule struct {
	Mode      Mode
	Direction Direction     // direction that Silent and SilentAll discard
	Delay     time.Duration // delay of each chunk in mode Delay
}

// Counts are the counters of a proxy; BytesUp and BytesDown exclude discarded data.
type Counts struct {
	Connections int
	Open        int
	BytesUp     int64
	BytesDown   int64
}

// Proxy forwards connections to a target; it is safe for concurrent use.
type Proxy struct {
	gate   *wire.Gate
	target string
	group  sync.WaitGroup
	mutex  sync.Mutex
	rule   Rule
	counts Counts
	links  map[*link]struct{}
	closed bool
	hang   *wire.SilentPort // takes the place of the gate in mode Partition
}

// link is one connection through the proxy.
type link struct {
	up, down        net.Conn // connection to the target, connection from the dialling side
	silenced        map[Direction]bool
	endedDirections int // number of directions that have ended
	stop            chan struct{}
	stopOnce        sync.Once
}

// Listen starts a proxy that forwards from the address to the target.
func Listen(address, target string) (*Proxy, error) {
	gate, err := wire.NewGate(address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{gate: gate, target: target, rule: Rule{Mode: Pass}, links: map[*link]struct{}{}}
	proxy.group.Go(proxy.accept)
	return proxy, nil
}

// Address returns the listening address.
func (proxy *Proxy) Address() string { return proxy.gate.Addr().String() }

// SetTarget forwards new connections to another target.
func (proxy *Proxy) SetTarget(target string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = target
}

// Counts returns the counts so far.
func (proxy *Proxy) Counts() Counts {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	counts := proxy.counts
	counts.Open = len(proxy.links)
	return counts
}

// SetMode sets a mode with no direction and no delay.
func (proxy *Proxy) SetMode(mode Mode) error { return proxy.Set(Rule{Mode: mode}) }

// Set applies a rule to the open and the new connections, and returns an error when the proxy cannot listen again.
func (proxy *Proxy) Set(rule Rule) error {
	proxy.mutex.Lock()
	proxy.rule = rule
	for link := range proxy.links {
		switch rule.Mode {
		case Silent, SilentAll, Partition:
			link.silence(rule.Direction)
		case Cut:
			link.abort()
		}
	}
	defer proxy.mutex.Unlock()
	if proxy.hang != nil {
		proxy.hang.Close()
		proxy.hang = nil
	}
	switch rule.Mode {
	case Cut, Refuse:
		proxy.gate.StopListening()
		return nil
	case Partition:
		proxy.gate.StopListening()
		var err error
		proxy.hang, err = wire.ListenSilently(proxy.Address())
		return err
	}
	return proxy.gate.StartListening()
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (proxy *Proxy) Close() {
	_ = proxy.gate.Close()
	proxy.mutex.Lock()
	proxy.closed = true
	if proxy.hang != nil {
		proxy.hang.Close()
		proxy.hang = nil
	}
	for link := range proxy.links {
		link.abort()
	}
	proxy.mutex.Unlock()
	proxy.group.Wait()
}

func (proxy *Proxy) accept() {
	for {
		down, err := proxy.gate.Accept()
		if err != nil {
			return
		}
		proxy.group.Go(func() { proxy.connect(down) })
	}
}

func (proxy *Proxy) connect(down net.Conn) {
	proxy.mutex.Lock()
	target := proxy.target
	proxy.mutex.Unlock()
	up, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(down)
		return
	}
	opened := &link{up: up, down: down, silenced: map[Direction]bool{}, stop: make(chan struct{})}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.counts.Connections++
	proxy.links[opened] = struct{}{}
	switch {
	case proxy.closed || proxy.rule.Mode == Cut: // the end of the open connections has already passed
		opened.abort()
	case proxy.rule.Mode == SilentAll:
		opened.silence(proxy.rule.Direction)
	}
	proxy.group.Go(func() { proxy.pump(opened, Up, down, up) })
	proxy.group.Go(func() { proxy.pump(opened, Down, up, down) })
}

func (link *link) silence(direction Direction) {
	link.silenced[Up] = link.silenced[Up] || direction != Down
	link.silenced[Down] = link.silenced[Down] || direction != Up
}

// abort resets both connections.
func (link *link) abort() {
	link.stopOnce.Do(func() {
		close(link.stop)
		reset(link.up)
		reset(link.down)
	})
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if lingerer, supported := conn.(interface{ SetLinger(int) error }); supported {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}
