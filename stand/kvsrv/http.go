package kvsrv

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"catkincove/stand/wire"
)

const maxBody = 4 << 20 // room for several values of the largest size in base64

var callNames = map[string]string{
	"/v3/kv/range":        "Range",
	"/v3/kv/put":          "Put",
	"/v3/kv/deleterange":  "DeleteRange",
	"/v3/kv/txn":          "Txn",
	"/v3/lease/grant":     "LeaseGrant",
	"/v3/lease/keepalive": "LeaseKeepAlive",
	"/v3/lease/revoke":    "LeaseRevoke",
	"/v3/watch":           "Watch",
}

// ServeHTTP answers the calls of the store and the control calls; the latter also work while the store is down.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		refuse(writer, errTooLarge)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/control/") {
		server.control(writer, request, body)
		return
	}
	name, known := callNames[request.URL.Path]
	if !known || request.Method != http.MethodPost {
		refuse(writer, &failure{codeNotFound, "Not Found"})
		return
	}
	server.enter(request, name)
	if name == "Watch" {
		var watch watchRequest
		if err := wire.Unmarshal(body, &watch); err != nil {
			refuse(writer, err)
			return
		}
		server.serveWatch(writer, request, &watch)
		return
	}
	server.answer(writer, name, body)
}

// enter counts the call and applies the faults that come before it.
func (server *Server) enter(request *http.Request, name string) {
	server.mutex.Lock()
	server.counters[name]++
	delay := server.faults.Delay
	server.mutex.Unlock()
	if delay > 0 {
		select {
		case <-server.settings.Clock.After(delay):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	if server.Faults().Down {
		panic(http.ErrAbortHandler)
	}
}

func (server *Server) answer(writer http.ResponseWriter, name string, body []byte) {
	server.mutex.Lock()
	server.expire()
	response, err := server.call(name, body)
	writes := name == "Put" || name == "DeleteRange" || name == "Txn"
	lost := err == nil && writes && server.loses()
	server.mutex.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case err != nil:
		refuse(writer, err)
	default:
		wire.Reply(writer, http.StatusOK, response)
	}
}

func (server *Server) call(name string, body []byte) (object, error) {
	switch name {
	case "Range":
		return decoded(body, server.read)
	case "Put":
		return decoded(body, server.put)
	case "DeleteRange":
		return decoded(body, server.deleteRange)
	case "Txn":
		return decoded(body, server.txn)
	case "LeaseGrant":
		return decoded(body, server.grantLease)
	case "LeaseKeepAlive":
		return decoded(body, server.keepAlive)
	default:
		return decoded(body, server.revokeLease)
	}
}

func decoded[Request any](body []byte, run func(*Request) (object, error)) (object, error) {
	request := new(Request)
	if err := wire.Unmarshal(body, request); err != nil {
		return nil, err
	}
	return run(request)
}

func refuse(writer http.ResponseWriter, err error) {
	answer := &failure{codeInvalid, err.Error()}
	errors.As(err, &answer)
	status := http.StatusBadRequest
	if answer.code == codeNotFound {
		status = http.StatusNotFound
	}
	wire.Reply(writer, status, wire.Object{"code": answer.code, "message": answer.message})
}

func (server *Server) control(writer http.ResponseWriter, request *http.Request, body []byte) {
	switch request.Method + " " + request.URL.Path {
	case "GET /control/counters":
		wire.Reply(writer, http.StatusOK, server.Counters())
	case "GET /control/faults":
		wire.Reply(writer, http.StatusOK, server.Faults())
	case "POST /control/faults":
		faults := server.Faults()
		if err := wire.Unmarshal(body, &faults, "Delay"); err != nil {
			refuse(writer, err)
			return
		}
		server.SetFaults(faults)
		wire.Reply(writer, http.StatusOK, faults)
	default:
		refuse(writer, &failure{codeNotFound, "Not Found"})
	}
}
