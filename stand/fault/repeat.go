package fault

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// Repeater is an HTTP/1.1 server that sends each response a second time when the next request on its connection has been read.
type Repeater struct {
	listener    net.Listener
	handler     http.Handler
	connections atomic.Int64
}

// ListenRepeating starts a Repeater on a free port of the loopback address; responses are sent once the handler has returned.
func ListenRepeating(handler http.Handler) (*Repeater, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	repeater := &Repeater{listener: listener, handler: handler}
	go repeater.accept()
	return repeater, nil
}

// Address returns the address at which the Repeater listens.
func (repeater *Repeater) Address() string { return repeater.listener.Addr().String() }

// Connections returns the number of connections so far.
func (repeater *Repeater) Connections() int64 { return repeater.connections.Load() }

// Close ends the listener; open connections end with their clients.
func (repeater *Repeater) Close() { _ = repeater.listener.Close() }

func (repeater *Repeater) accept() {
	for {
		conn, err := repeater.listener.Accept()
		if err != nil {
			return
		}
		repeater.connections.Add(1)
		go repeater.serve(conn)
	}
}

func (repeater *Repeater) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var previous []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		repeater.handler.ServeHTTP(recorder, request)
		response := recorder.Result()
		response.ContentLength = int64(recorder.Body.Len())
		var encoded bytes.Buffer
		_ = response.Write(&encoded)
		if _, err := conn.Write(previous); err != nil {
			return
		}
		previous = encoded.Bytes()
		if _, err := conn.Write(previous); err != nil || request.Close {
			return
		}
	}
}
