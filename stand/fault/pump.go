package fault

import (
	"io"
	"net"
	"net/http"
	"time"

	"catkincove/stand/wire"
)

const bufferSize = 32 << 10

// pump forwards one direction until a side closes; a silenced direction discards the data and does not forward the close.
func (proxy *Proxy) pump(link *link, direction Direction, from, to net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		silenced, delay := proxy.countChunk(link, direction, count)
		if !silenced && delay > 0 {
			link.sleep(delay)
		}
		if !silenced && count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		proxy.finish(link, silenced, err, to)
		return
	}
}

// countChunk counts a chunk that is forwarded; it returns whether the chunk is discarded, and otherwise its delay.
func (proxy *Proxy) countChunk(link *link, direction Direction, count int) (silenced bool, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	silenced = link.silenced[direction]
	if proxy.rule.Mode == Delay {
		delay = proxy.rule.Delay
	}
	switch {
	case silenced:
	case direction == Up:
		proxy.counts.BytesUp += int64(count)
	default:
		proxy.counts.BytesDown += int64(count)
	}
	return silenced, delay
}

func (link *link) sleep(delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-link.stop:
	}
}

// finish forwards the end of one direction: EOF as a half-close, an error as a reset.
func (proxy *Proxy) finish(link *link, silenced bool, err error, to net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	link.endedDirections++
	switch {
	case link.endedDirections == 2 || err != io.EOF && !silenced:
		link.abort()
	case !silenced:
		if halfCloser, supported := to.(interface{ CloseWrite() error }); supported {
			_ = halfCloser.CloseWrite()
		}
	}
	if link.endedDirections == 2 {
		delete(proxy.links, link)
	}
}

// ServeHTTP serves GET /control/counters, and POST /control/rule with Mode, Direction and Delay.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "GET /control/counters":
		wire.Reply(writer, http.StatusOK, proxy.Counts())
	case "POST /control/rule":
		var rule Rule
		body, _ := io.ReadAll(request.Body)
		err := wire.Unmarshal(body, &rule, "Delay")
		if err == nil {
			err = proxy.Set(rule)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		wire.Reply(writer, http.StatusOK, rule)
	default:
		http.NotFound(writer, request)
	}
}
