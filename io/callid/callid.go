package callid

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
)

// Header carries a random ID of a call between the project's own programs, which the server echoes.
const Header = "Catkincove-Call"

// ErrOtherCall reports a response that does not belong to the call.
var ErrOtherCall = errors.New("response to another call")

// Transport sends each call with an ID and returns no response that belongs to another call; Kept must be set.
//
// A response without an ID is accepted only as the first one on its connection. Further calls to such a server use a new connection each. A GET whose
// response belongs to another call is sent once more, over a new connection.
type Transport struct {
	Kept   *http.Transport // connections that may carry several calls
	Header string          // name of the ID's header; empty means Header

	once    sync.Once
	single  *http.Transport // connections that carry one call
	without sync.Map        // hosts whose last response had no ID
}

// RoundTrip sends the request with an ID and checks the one in the response.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.once.Do(func() {
		transport.single = transport.Kept.Clone()
		transport.single.DisableKeepAlives = true
	})
	sender := transport.Kept
	if _, without := transport.without.Load(request.URL.Host); without {
		sender = transport.single
	}
	response, err := transport.send(sender, request)
	if errors.Is(err, ErrOtherCall) && request.Method == http.MethodGet {
		return transport.send(transport.single, request)
	}
	return response, err
}

// send sends the request over a connection of the sender.
func (transport *Transport) send(sender *http.Transport, request *http.Request) (*http.Response, error) {
	header := transport.Header
	if header == "" {
		header = Header
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	request = request.Clone(httptrace.WithClientTrace(request.Context(), trace))
	id := strconv.FormatUint(rand.Uint64(), 36)
	request.Header.Set(header, id)
	response, err := sender.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	switch echoed := response.Header.Get(header); {
	case echoed == id:
		transport.without.Delete(request.URL.Host)
	case echoed == "" && !reused:
		transport.without.Store(request.URL.Host, true)
	default:
		_ = response.Body.Close() // before its end, which closes the connection
		return nil, ErrOtherCall
	}
	return response, nil
}

// CloseIdleConnections closes the connections that wait for a further call.
func (transport *Transport) CloseIdleConnections() { transport.Kept.CloseIdleConnections() }

// Echo returns a handler whose responses carry the ID of their call.
func Echo(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get(Header); id != "" {
			writer.Header().Set(Header, id)
		}
		handler.ServeHTTP(writer, request)
	})
}
