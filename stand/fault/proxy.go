package fault

import (
	"net"
	"sync"
	"time"

	"catkincove/stand/wire"
)

// Mode is what the proxy does to connections.
type Mode string

// The modes. A connection that was silenced stays silent until it is closed or cut, whatever the mode becomes.
const (
	Pass      Mode = "Pass"
	Cut       Mode = "Cut"       // resets the open connections and refuses new ones
	Silent    Mode = "Silent"    // silences the open connections; new ones work
	SilentAll Mode = "SilentAll" // silences the open and the new connections
	Delay     Mode = "Delay"     // holds each piece of data for the rule's delay
	Refuse    Mode = "Refuse"    // refuses new connections; the open ones work
)

// Direction is a way through the proxy.
type Direction string

// The directions; the zero value is both.
const (
	Both Direction = ""
	Up   Direction = "Up"   // from the dialling side to the target
	Down Direction = "Down" // from the target to the dialling side
)

// Rule is a mode with its parameters.
type Rule struct {
	Mode      Mode
	Direction Direction     // silenced by Silent and SilentAll
	Delay     time.Duration // of the mode Delay
}

// Counts are what the proxy counted.
type Counts struct {
	Connections int
	Open        int
	BytesUp     int64
	BytesDown   int64
}

// Proxy passes connections to a target; it is safe for concurrent use.
type Proxy struct {
	gate   *wire.Gate
	target string
	group  sync.WaitGroup
	mutex  sync.Mutex
	rule   Rule
	counts Counts
	links  map[*link]struct{}
}

// link is one connection through the proxy.
type link struct {
	up, down net.Conn // towards the target, towards the dialling side
	muted    map[Direction]bool
	ended    int // pumps that have ended
	stop     chan struct{}
	stopOnce sync.Once
}

// Listen starts a proxy from the address to the target.
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

// Counts returns the counts so far.
func (proxy *Proxy) Counts() Counts {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	counts := proxy.counts
	counts.Open = len(proxy.links)
	return counts
}

// SetMode sets a mode without parameters.
func (proxy *Proxy) SetMode(mode Mode) error { return proxy.Set(Rule{Mode: mode}) }

// Set changes what the proxy does.
func (proxy *Proxy) Set(rule Rule) error {
	proxy.mutex.Lock()
	proxy.rule = rule
	for link := range proxy.links {
		switch rule.Mode {
		case Silent, SilentAll:
			link.mute(rule.Direction)
		case Cut:
			link.end()
		}
	}
	proxy.mutex.Unlock()
	if rule.Mode == Cut || rule.Mode == Refuse {
		proxy.gate.Lower()
		return nil
	}
	return proxy.gate.Raise()
}

// Close ends the proxy and its connections.
func (proxy *Proxy) Close() {
	_ = proxy.gate.Close()
	proxy.mutex.Lock()
	for link := range proxy.links {
		link.end()
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
		proxy.group.Go(func() { proxy.open(down) })
	}
}

func (proxy *Proxy) open(down net.Conn) {
	up, err := net.DialTimeout("tcp", proxy.target, time.Second)
	if err != nil {
		reset(down)
		return
	}
	opened := &link{up: up, down: down, muted: map[Direction]bool{}, stop: make(chan struct{})}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.counts.Connections++
	proxy.links[opened] = struct{}{}
	if proxy.rule.Mode == SilentAll {
		opened.mute(proxy.rule.Direction)
	}
	proxy.group.Go(func() { proxy.pump(opened, Up, down, up) })
	proxy.group.Go(func() { proxy.pump(opened, Down, up, down) })
}

func (link *link) mute(direction Direction) {
	link.muted[Up] = link.muted[Up] || direction != Down
	link.muted[Down] = link.muted[Down] || direction != Up
}

// end resets both sides.
func (link *link) end() {
	link.stopOnce.Do(func() {
		close(link.stop)
		reset(link.up)
		reset(link.down)
	})
}

func reset(conn net.Conn) {
	if lingerer, can := conn.(interface{ SetLinger(int) error }); can {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}
