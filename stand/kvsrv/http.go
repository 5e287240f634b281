package kvsrv

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"catkincove/stand/wire"
)

const maxBody = 4 << 20 // bytes; fits several values of the maximum size in base64

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

// ServeHTTP serves the calls of the store and the control calls; control calls also work while the store is down.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		writeError(writer, errTooLarge)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/control/") {
		server.serveControl(writer, request, body)
		return
	}
	name, known := callNames[request.URL.Path]
	if !known || request.Method != http.MethodPost {
		writeError(writer, &statusError{codeNotFound, "Not Found"})
		return
	}
	server.beginCall(request, name)
	if name == "Watch" {
		var watch watchRequest
		if err := wire.Unmarshal(body, &watch); err != nil {
			writeError(writer, err)
			return
		}
		server.serveWatch(writer, request, &watch)
		return
	}
	server.serveCall(writer, name, body)
}

// beginCall counts the call, applies the configured delay, and closes the connection when the store is down.
func (server *Server) beginCall(request *http.Request, name string) {
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

func (server *Server) serveCall(writer http.ResponseWriter, name string, body []byte) {
	server.mutex.Lock()
	server.expire()
	response, err := server.dispatch(name, body)
	writes := name == "Put" || name == "DeleteRange" || name == "Txn"
	responseLost := err == nil && writes && server.losesResponse()
	server.mutex.Unlock()
	switch {
	case responseLost:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(writer, err)
	default:
		wire.Reply(writer, http.StatusOK, response)
	}
}

func (server *Server) dispatch(name string, body []byte) (object, error) {
	switch name {
	case "Range":
		return decodeAndRun(body, server.serveRange)
	case "Put":
		return decodeAndRun(body, server.put)
	case "DeleteRange":
		return decodeAndRun(body, server.deleteRange)
	case "Txn":
		return decodeAndRun(body, server.txn)
	case "LeaseGrant":
		return decodeAndRun(body, server.grantLease)
	case "LeaseKeepAlive":
		return decodeAndRun(body, server.keepAlive)
	default:
		return decodeAndRun(body, server.revokeLease)
	}
}

func decodeAndRun[Request any](body []byte, run func(*Request) (object, error)) (object, error) {
	request := new(Request)
	if err := wire.Unmarshal(body, request); err != nil {
		return nil, err
	}
	return run(request)
}

func writeError(writer http.ResponseWriter, err error) {
	reported := &statusError{codeInvalid, err.Error()}
	errors.As(err, &reported)
	status := http.StatusBadRequest
	if reported.code == codeNotFound {
		status = http.StatusNotFound
	}
	wire.Reply(writer, status, wire.Object{"code": reported.code, "message": reported.message})
}

func (server *Server) serveControl(writer http.ResponseWriter, request *http.Request, body []byte) {
	switch request.Method + " " + request.URL.Path {
	case "GET /control/counters":
		wire.Reply(writer, http.StatusOK, server.Counters())
	case "GET /control/faults":
		wire.Reply(writer, http.StatusOK, server.Faults())
	case "POST /control/faults":
		faults := server.Faults()
		if err := wire.Unmarshal(body, &faults, "Delay"); err != nil {
			writeError(writer, err)
			return
		}
		server.SetFaults(faults)
		wire.Reply(writer, http.StatusOK, faults)
	default:
		writeError(writer, &statusError{codeNotFound, "Not Found"})
	}
}
