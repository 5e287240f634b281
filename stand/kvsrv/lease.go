package kvsrv

import (
	"maps"
	"slices"
	"time"
)

type lease struct {
	ttl     int64 // seconds
	expires time.Time
	keys    map[string]struct{}
}

type leaseRequest struct {
	ID  number
	TTL number
}

func (server *Server) grantLease(request *leaseRequest) (object, error) {
	id := int64(request.ID)
	if id == 0 {
		server.lastID++
		id = 7_000_000_000_000_000_000 + server.lastID // IDs above 2^53, which a JSON number cannot hold exactly
	}
	if server.leases[id] != nil {
		return nil, &statusError{codeFailedPrecondition, "etcdserver: lease already exists"}
	}
	ttl := max(int64(request.TTL), 1)
	server.leases[id] = &lease{ttl: ttl, expires: server.expiryAfter(ttl), keys: map[string]struct{}{}}
	return object{"header": server.header()}.number("ID", id).number("TTL", ttl), nil
}

func (server *Server) expiryAfter(ttl int64) time.Time {
	return server.settings.Clock.Now().Add(time.Duration(ttl) * time.Second)
}

// keepAlive renews a lease; the response has no TTL when the lease does not exist.
func (server *Server) keepAlive(request *leaseRequest) (object, error) {
	result := object{"header": server.header()}.number("ID", int64(request.ID))
	if renewed := server.leases[int64(request.ID)]; renewed != nil {
		renewed.expires = server.expiryAfter(renewed.ttl)
		result.number("TTL", renewed.ttl)
	}
	return object{"result": result}, nil
}

func (server *Server) revokeLease(request *leaseRequest) (object, error) {
	if server.leases[int64(request.ID)] == nil {
		return nil, errLeaseNotFound
	}
	server.endLease(int64(request.ID))
	return object{"header": server.header()}, nil
}

// endLease removes a lease and deletes its keys in one revision.
func (server *Server) endLease(id int64) {
	keys := slices.Sorted(maps.Keys(server.leases[id].keys))
	revision := server.state.revision + 1
	for _, key := range keys {
		server.set(revision, key, nil)
	}
	delete(server.leases, id)
	if len(keys) > 0 {
		server.publish()
	}
}

// expire ends the leases whose TTL has elapsed; it runs before each call and while a watch waits.
func (server *Server) expire() {
	now := server.settings.Clock.Now()
	for _, id := range slices.Sorted(maps.Keys(server.leases)) {
		if now.After(server.leases[id].expires) {
			server.endLease(id)
		}
	}
}

// detach removes a key from the lease of its previous entry.
func (server *Server) detach(key string, previous *entry) {
	if previous == nil || previous.lease == 0 {
		return
	}
	if attached := server.leases[previous.lease]; attached != nil {
		delete(attached.keys, key)
	}
}
