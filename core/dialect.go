package core

import (
	"net/http"
	"time"
)

// Dialect translates between the platform's formats and the types of this package; it makes no decisions.
type Dialect interface {
	// RoutingPrefix is the prefix of the store keys that hold the routing and the evacuations.
	RoutingPrefix() string
	// TargetPrefix is the prefix of the store keys under which targets register.
	TargetPrefix() string
	// DecodeRouting reads the routing; it reports false when the key holds something else.
	DecodeRouting(key string, value []byte) (Routing, bool, error)
	// EvacuatedDataCentre returns the data centre that the key takes out of service.
	EvacuatedDataCentre(key string) (string, bool)
	// DecodeRollout reads an order to move the traffic of a service to another software version; it reports false when the key holds something else.
	DecodeRollout(key string, value []byte) (RolloutOrder, bool, error)
	// RolloutStatusKey is the store key of the status of a service's rollout.
	RolloutStatusKey(service string) string
	// DecodeRolloutStatus reads the status of a rollout.
	DecodeRolloutStatus(value []byte) (RolloutStatus, error)
	// EncodeRolloutStatus returns the status of a rollout as the operator reads it.
	EncodeRolloutStatus(status RolloutStatus) []byte
	// DecodeTarget reads the registration of a target.
	DecodeTarget(key string, value []byte) (TargetEntry, error)

	// CallerRequest reads the parameters of a request from its headers.
	CallerRequest(header http.Header) (CallerRequest, error)
	// ForwardHeader returns the headers for a target: the caller's without hop-by-hop headers and those that only
	// daemons may set, and those of forward.
	ForwardHeader(caller http.Header, forward Forward) http.Header
	// TargetResponse reads the status and headers of a target's response.
	TargetResponse(status int, header http.Header) TargetResponse

	// PiecesCall returns the path and body of a call that runs pieces.
	PiecesCall(pieces []Piece) (path string, body []byte)
	// ExpectTarget adds the header that makes any target but the one with the ID reject the request.
	ExpectTarget(header http.Header, id string)
	// PieceResults reads the response to a call with that many pieces.
	PieceResults(body []byte, count int) ([]PieceResult, error)
	// FreeCall returns the path and body of a call that frees results.
	FreeCall(handles []string) (path string, body []byte)
	// HandleAddress returns the IP:port of the target that holds the result.
	HandleAddress(handle string) string

	// ReadyPath is the path of the platform's readiness check.
	ReadyPath() string
	// DirectoryPath is the path on which callers ask for addresses.
	DirectoryPath() string
	// AddressResponse returns the body of the response, which lets callers cache the addresses for the TTL.
	AddressResponse(addresses []string, ttl time.Duration) []byte
}

// RoutingFormat reads a routing as the operator writes it, for reviews before it is sent.
type RoutingFormat interface {
	// RoutingKey is the store key of the routing.
	RoutingKey() string
	// DecodeRoutingOptions reads a routing that is not indexed yet, by the same rules as Dialect.DecodeRouting; its errors may be Located.
	DecodeRoutingOptions(value []byte) (RoutingOptions, error)
	// Place returns the place in the written routing of an entry such as teams[2].
	Place(entry string) string
}

// Located is an error of one place in a message.
type Located interface {
	error
	// Place returns the place, such as routes[2].name.
	Place() string
}
