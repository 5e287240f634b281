package fault

import (
	"io"
	"net"
	"net/http"
	"time"

	"catkincove/stand/wire"
)

const bufferSize = 32 << 10

// pump passes one direction until an end closes; a silenced direction discards data and hides the close as well.
func (proxy *Proxy) pump(link *link, direction Direction, from, to net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		muted, delay := proxy.judge(link, direction, count)
		if !muted && delay > 0 {
			link.wait(delay)
		}
		if !muted && count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				err = failed
			}
		}
		if err == nil {
			continue
		}
		proxy.finish(link, muted, err, to)
		return
	}
}

// judge counts a piece of data and returns what happens to it.
func (proxy *Proxy) judge(link *link, direction Direction, count int) (muted bool, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	muted = link.muted[direction]
	if proxy.rule.Mode == Delay {
		delay = proxy.rule.Delay
	}
	switch {
	case muted:
	case direction == Up:
		proxy.counts.BytesUp += int64(count)
	default:
		proxy.counts.BytesDown += int64(count)
	}
	return muted, delay
}

func (link *link) wait(delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-link.stop:
	}
}

// finish passes on the end of one direction: a clean end as such, a broken one as a reset.
func (proxy *Proxy) finish(link *link, muted bool, err error, to net.Conn) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	link.ended++
	switch {
	case link.ended == 2 || err != io.EOF && !muted:
		link.end()
	case !muted:
		if half, can := to.(interface{ CloseWrite() error }); can {
			_ = half.CloseWrite()
		}
	}
	if link.ended == 2 {
		delete(proxy.links, link)
	}
}

// ServeHTTP answers GET /control/counters, and POST /control/rule with Mode, Direction and Delay.
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
