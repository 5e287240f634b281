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
		id = 7_000_000_000_000_000_000 + server.lastID // larger than a JSON number holds exactly
	}
	if server.leases[id] != nil {
		return nil, &failure{codeFailedPrecondition, "etcdserver: lease already exists"}
	}
	ttl := max(int64(request.TTL), 1)
	server.leases[id] = &lease{ttl: ttl, expires: server.until(ttl), keys: map[string]struct{}{}}
	return object{"header": server.header()}.number("ID", id).number("TTL", ttl), nil
}

func (server *Server) until(ttl int64) time.Time {
	return server.settings.Clock.Now().Add(time.Duration(ttl) * time.Second)
}

// keepAlive answers without a TTL when the lease is gone.
func (server *Server) keepAlive(request *leaseRequest) (object, error) {
	result := object{"header": server.header()}.number("ID", int64(request.ID))
	if renewed := server.leases[int64(request.ID)]; renewed != nil {
		renewed.expires = server.until(renewed.ttl)
		result.number("TTL", renewed.ttl)
	}
	return object{"result": result}, nil
}

func (server *Server) revokeLease(request *leaseRequest) (object, error) {
	if server.leases[int64(request.ID)] == nil {
		return nil, errLeaseNotFound
	}
	server.drop(int64(request.ID))
	return object{"header": server.header()}, nil
}

// drop ends a lease and deletes its keys in one revision.
func (server *Server) drop(id int64) {
	keys := slices.Sorted(maps.Keys(server.leases[id].keys))
	revision := server.state.revision + 1
	for _, key := range keys {
		server.set(revision, key, nil)
	}
	delete(server.leases, id)
	if len(keys) > 0 {
		server.finish()
	}
}

// expire drops the leases whose time has passed; it runs before each call and while a watch waits.
func (server *Server) expire() {
	now := server.settings.Clock.Now()
	for _, id := range slices.Sorted(maps.Keys(server.leases)) {
		if now.After(server.leases[id].expires) {
			server.drop(id)
		}
	}
}

func (server *Server) detach(key string, previous *entry) {
	if previous == nil || previous.lease == 0 {
		return
	}
	if holder := server.leases[previous.lease]; holder != nil {
		delete(holder.keys, key)
	}
}
