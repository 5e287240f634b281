package edge

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
)

// headerCallID carries a random ID of a call to another daemon, which echoes it.
const headerCallID = "Catkincove-Call"

// errOtherCall reports a response to another call, such as a second copy of an earlier response on the same connection.
var errOtherCall = errors.New("response to another call")

// identified is a transport for calls to other daemons that returns no response to another call: the pieces of one request
// would be given to another. A response without an ID is accepted, because older daemons echo none.
type identified struct{ *http.Transport }

// RoundTrip sends the request with an ID and checks the one in the response.
func (transport identified) RoundTrip(request *http.Request) (*http.Response, error) {
	id := strconv.FormatUint(rand.Uint64(), 36)
	request = request.Clone(request.Context())
	request.Header.Set(headerCallID, id)
	response, err := transport.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if echoed := response.Header.Get(headerCallID); echoed != "" && echoed != id {
		_ = response.Body.Close() // before its end, which closes the connection
		return nil, errOtherCall
	}
	return response, nil
}

// echoCallID returns a handler whose responses carry the ID of their call.
func echoCallID(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if id := request.Header.Get(headerCallID); id != "" {
			writer.Header().Set(headerCallID, id)
		}
		handler.ServeHTTP(writer, request)
	})
}
