package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat       = 1200 * time.Millisecond
	failedWritePace = 200 * time.Millisecond
)

// arrival is one request that reached a replica.
type arrival struct {
	at      time.Time
	attempt string
	daemon  string // from which it came, by its IP
	ran     bool
}

// replica stands in for one replica of a service.
type replica struct {
	fleet                               *fleet
	id, service, zone, version, address string

	mutex     sync.Mutex
	listener  net.Listener
	server    *http.Server
	born      time.Time
	sequence  int
	lives     int
	down      bool
	coldFor   time.Duration // after a start during traffic
	coldUntil time.Time
	arrivals  []arrival
	running   int
	waiting   int

	slots, queue int
	work         time.Duration
	limit        float64 // named in Server-Limit; 0 means none
	brittle      int     // named in Server-Brittle; 0 means none
	rejected     []time.Time
	falls        []time.Time
	events       int // of a stream; 0 means a single body
	gap          time.Duration
	lose         func(*replica, *http.Request) bool // the request runs and its channel is reset
	unframed     bool                               // streams have neither a length nor chunks and end with their channel
	crashesOn    string                             // part of a prompt, other than the last, under which the replica crashes when it begins its answer
	crashes      []time.Time
	channels     map[net.Conn]struct{} // of unframed streams
}

func (fleet *fleet) addReplica(id, service, zone, version string) *replica {
	added := &replica{fleet: fleet, id: id, service: service, zone: zone, version: version, slots: 64, queue: 134}
	fleet.replicas = append(fleet.replicas, added)
	return added
}

// listen starts a lifetime of the replica.
func (replica *replica) listen() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.address == "" {
		replica.address = free(machine())
	}
	listener, err := net.Listen("tcp", replica.address)
	if err != nil {
		cannotRun("replica: %v", err)
	}
	replica.listener, replica.down, replica.born, replica.sequence = listener, false, time.Now(), 0
	replica.lives++
	replica.server = &http.Server{Handler: replica}
	if replica.lives > 1 && replica.coldFor > 0 {
		replica.coldUntil = time.Now().Add(replica.coldFor)
	}
	server := replica.server
	go func() { _ = server.Serve(listener) }()
	replica.fleet.record.add("replica %s starts, life %d", replica.id, replica.lives)
}

// crash ends all channels and refuses new ones until listen.
func (replica *replica) crash() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return
	}
	replica.down = true
	replica.fleet.record.add("replica %s crashes", replica.id)
	replica.crashes = append(replica.crashes, time.Now())
	replica.reset()
}

// reset ends all channels of the replica.
func (replica *replica) reset() {
	go func(server *http.Server) { _ = server.Close() }(replica.server)
	for channel := range replica.channels {
		if tcp, is := channel.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
		_ = channel.Close()
	}
	replica.channels = nil
}

// beat writes the entry of the replica until the run ends, and again when a write has failed.
func (replica *replica) beat() {
	for {
		replica.mutex.Lock()
		replica.sequence++
		born, lives := replica.born, replica.lives
		coldLeft := max(time.Until(replica.coldUntil), 0)
		entry := map[string]any{
			"service": replica.service, "address": replica.address, "zone": replica.zone, "version": replica.version, "slots": replica.slots, "phase": "ready",
			"cold-left-ms": coldLeft.Milliseconds(), "sequence": replica.sequence, "born": born.UnixMilli(),
		}
		down := replica.down
		replica.mutex.Unlock()
		pause := heartbeat
		if !down && !replica.fleet.store.write("servers/"+replica.id, entry) {
			pause = failedWritePace
		}
		for until := time.Now().Add(pause); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			replica.mutex.Lock()
			started := replica.lives != lives
			replica.mutex.Unlock()
			if started {
				break // a replica registers at once when it has started
			}
		}
	}
}

func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != replica.id {
		writer.Header().Set("X-Replica-Id", replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	writer.Header().Set("X-Attempt-Id", attempt)
	replica.mutex.Lock()
	if replica.down {
		replica.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	replica.arrivals = append(replica.arrivals, arrival{at: time.Now(), attempt: attempt, daemon: from})
	number := len(replica.arrivals) - 1
	life := replica.lives
	if replica.limit > 0 {
		writer.Header().Set("Server-Limit", strconv.FormatFloat(replica.limit, 'f', -1, 64))
	}
	if replica.brittle > 0 {
		writer.Header().Set("Server-Brittle", strconv.Itoa(replica.brittle))
	}
	replica.mutex.Unlock()
	if !replica.enter(request) {
		replica.fleet.record.add("replica %s turns away %s", replica.id, attempt)
		if replica.rejectsTooMany() {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer replica.leave()
	replica.mutex.Lock()
	replica.arrivals[number].ran = true
	replica.mutex.Unlock()
	replica.fleet.record.add("replica %s (%s, life %d) runs %s", replica.id, replica.version, life, attempt)
	select {
	case <-time.After(replica.work):
	case <-request.Context().Done():
		return
	}
	if replica.crashesOn != "" && holdsPart(request.Header.Get("X-Prefix-Hash"), replica.crashesOn) {
		replica.crash()
		time.AfterFunc(crashTime, replica.listen)
		panic(http.ErrAbortHandler)
	}
	if replica.lose != nil && replica.lose(replica, request) {
		replica.fleet.record.add("replica %s loses the answer to %s", replica.id, attempt)
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Response-Seal", "seal-"+attempt)
	if replica.events == 0 {
		writer.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(writer, "answer to %s\n", attempt)
		return
	}
	if replica.unframed {
		replica.streamUnframed(writer, request)
		return
	}
	replica.stream(writer, request)
}

// enter takes a slot, or a place in the queue until there is one.
func (replica *replica) enter(request *http.Request) bool {
	replica.mutex.Lock()
	if replica.running < replica.slots {
		replica.running++
		replica.mutex.Unlock()
		return true
	}
	if replica.waiting >= replica.queue {
		replica.mutex.Unlock()
		return false
	}
	replica.waiting++
	replica.mutex.Unlock()
	for {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-request.Context().Done():
			replica.mutex.Lock()
			replica.waiting--
			replica.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		replica.mutex.Lock()
		if replica.running < replica.slots {
			replica.running++
			replica.waiting--
			replica.mutex.Unlock()
			return true
		}
		replica.mutex.Unlock()
	}
}

func (replica *replica) leave() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.running--
}

const crashTime = 2 * time.Second // until a replica that has crashed is back

// holdsPart reports whether a prompt has a part before its last one.
func holdsPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	for _, entry := range parts[:len(parts)-1] {
		if strings.HasPrefix(entry, part+":") {
			return true
		}
	}
	return false
}

// streamUnframed writes a stream that ends with its channel.
func (replica *replica) streamUnframed(writer http.ResponseWriter, request *http.Request) {
	channel, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	replica.mutex.Lock()
	if replica.channels == nil {
		replica.channels = map[net.Conn]struct{}{}
	}
	replica.channels[channel] = struct{}{}
	replica.mutex.Unlock()
	defer func() {
		_ = channel.Close()
		replica.mutex.Lock()
		delete(replica.channels, channel)
		replica.mutex.Unlock()
	}()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n")
	for _, name := range []string{"X-Attempt-Id", "X-Response-Seal"} {
		head.WriteString(name + ": " + writer.Header().Get(name) + "\r\n")
	}
	head.WriteString("\r\n")
	if _, err := channel.Write(head.Bytes()); err != nil {
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= replica.events; number++ {
		if _, err := fmt.Fprintf(channel, "id: %d\ndata: token %d from version %s\n\n", number, number, replica.version); err != nil {
			return
		}
		time.Sleep(replica.gap)
	}
}

func (replica *replica) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(writer)
	for number := last + 1; number <= replica.events; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: token %d from version %s\n\n", number, number, replica.version)
		if control.Flush() != nil {
			return
		}
		select {
		case <-time.After(replica.gap):
		case <-request.Context().Done():
			return
		}
	}
}

func (replica *replica) list() []arrival {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return append([]arrival(nil), replica.arrivals...)
}

const fallTime = 2500 * time.Millisecond // until a replica that has fallen over is back

// rejectsTooMany counts a request that was turned away, and reports whether the replica falls over by it.
func (replica *replica) rejectsTooMany() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	now := time.Now()
	kept := replica.rejected[:0]
	for _, at := range replica.rejected {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	replica.rejected = append(kept, now)
	if replica.brittle == 0 || len(replica.rejected) <= replica.brittle || replica.down {
		return false
	}
	replica.falls, replica.rejected, replica.down = append(replica.falls, now), nil, true
	replica.fleet.record.add("replica %s has turned %d requests away in a second and falls over, with %d at work", replica.id, replica.brittle+1, replica.running)
	replica.reset()
	time.AfterFunc(fallTime, replica.listen)
	return true
}
