package wire

import (
	"io"
	"log"
	"net/http"
)

// Server serves a handler over HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	gate *Gate
	http *http.Server
	done chan struct{}
}

// Attacher is a handler that controls the server that runs it.
type Attacher interface {
	// Attach passes the server that runs the handler; Listen calls it before the first request.
	Attach(server *Server)
}

// Listen starts a server on the address, which may have port 0.
func Listen(address string, handler http.Handler) (*Server, error) {
	gate, err := NewGate(address)
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	discard := log.New(io.Discard, "", 0)
	server := &Server{gate: gate, done: make(chan struct{})}
	server.http = &http.Server{Handler: handler, Protocols: protocols, ErrorLog: discard}
	if attacher, isAttacher := handler.(Attacher); isAttacher {
		attacher.Attach(server)
	}
	go func() {
		defer close(server.done)
		_ = server.http.Serve(gate)
	}()
	return server, nil
}

// Address returns the listening address as IP:port.
func (server *Server) Address() string { return server.gate.address }

// Down refuses new connections and resets the open ones, as the end of a process does.
func (server *Server) Down() {
	server.gate.StopListening()
	server.gate.Reset()
}

// Up accepts connections again on the same address.
func (server *Server) Up() error { return server.gate.StartListening() }

// Reset closes the open connections with a TCP reset and keeps accepting new ones.
func (server *Server) Reset() { server.gate.Reset() }

// Close stops the server and closes its connections.
func (server *Server) Close() {
	_ = server.gate.Close()
	_ = server.http.Close()
	<-server.done
}
