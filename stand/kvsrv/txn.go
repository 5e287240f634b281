package kvsrv

import (
	"bytes"
	"maps"
	"slices"
)

// inRange reports whether the key is from itself when end is empty, or lies in [from, end); the end "\x00" means no end.
func inRange(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return key >= string(from) && (len(end) == 1 && end[0] == 0 || key < string(end))
}

func (state *state) find(from, end []byte) []*entry {
	if len(end) == 0 {
		if found := state.keys[string(from)]; found != nil {
			return []*entry{found}
		}
		return nil
	}
	var found []*entry
	for _, key := range slices.Sorted(maps.Keys(state.keys)) {
		if inRange(key, from, end) {
			found = append(found, state.keys[key])
		}
	}
	return found
}

// stateForRead returns the state at a revision, where 0 means the current one, or an error when it is not available.
func (server *Server) stateForRead(revision int64) (*state, error) {
	switch {
	case revision <= 0 || revision == server.state.revision:
		return &server.state, nil
	case revision > server.state.revision:
		return nil, errFuture
	case revision < server.compactRevision:
		return nil, errCompacted
	}
	return server.stateAt(revision), nil
}

// serveRange runs a range call outside a transaction; reads inside a transaction are never stale.
func (server *Server) serveRange(request *rangeRequest) (object, error) {
	if stale := server.staleState; stale != nil {
		return server.rangeResponse(stale, stale.revision, request), nil
	}
	return server.rangeKeys(request)
}

func (server *Server) rangeKeys(request *rangeRequest) (object, error) {
	state, err := server.stateForRead(int64(request.Revision))
	if err != nil {
		return nil, err
	}
	return server.rangeResponse(state, server.state.revision, request), nil
}

func (server *Server) rangeResponse(state *state, revision int64, request *rangeRequest) object {
	found := state.find(request.Key, request.RangeEnd)
	response := object{"header": server.headerAt(revision)}.number("count", int64(len(found)))
	if limit := int(request.Limit); limit > 0 && len(found) > limit {
		found = found[:limit]
		response["more"] = true
	}
	if request.CountOnly || len(found) == 0 {
		return response
	}
	kvs := make([]object, 0, len(found))
	for _, entry := range found {
		kv := entry.object()
		if request.KeysOnly {
			delete(kv, "value")
		}
		kvs = append(kvs, kv)
	}
	response["kvs"] = kvs
	return response
}

func (server *Server) put(request *putRequest) (object, error) {
	return server.runSingle(operation{RequestPut: request}, "response_put")
}

func (server *Server) deleteRange(request *deleteRequest) (object, error) {
	return server.runSingle(operation{RequestDeleteRange: request}, "response_delete_range")
}

// runSingle runs one operation as a transaction of its own; name is its field in the response.
func (server *Server) runSingle(only operation, name string) (object, error) {
	response, err := server.txn(&txnRequest{Success: []operation{only}})
	if err != nil {
		return nil, err
	}
	inner := response["responses"].([]object)[0][name].(object)
	inner["header"] = response["header"]
	return inner, nil
}

func (server *Server) txn(request *txnRequest) (object, error) {
	if err := server.check(request, maxTxnOps); err != nil {
		return nil, err
	}
	if _, err := putKeys(request.Success, request.Failure); err != nil {
		return nil, err
	}
	before := server.state.revision
	response, err := server.apply(request, server.choose(request), before+1)
	if err != nil {
		return nil, err
	}
	if server.state.revision != before {
		server.publish()
	}
	response["header"] = server.header()
	return response, nil
}

// check validates a transaction, nested ones included, before any of its writes; limit is the greatest number of operations.
func (server *Server) check(request *txnRequest, limit int) error {
	count := max(len(request.Compare), len(request.Success), len(request.Failure))
	if count > limit {
		return errTooManyOps
	}
	for _, operation := range slices.Concat(request.Success, request.Failure) {
		switch {
		case operation.RequestTxn != nil:
			if err := server.check(operation.RequestTxn, limit-count); err != nil {
				return err
			}
		case operation.RequestPut != nil:
			if err := server.checkPut(operation.RequestPut); err != nil {
				return err
			}
		}
	}
	return nil
}

func (server *Server) checkPut(request *putRequest) error {
	switch {
	case len(request.Key) == 0:
		return errEmptyKey
	case len(request.Value) > maxValue:
		return errTooLarge
	case request.Lease != 0 && server.leases[int64(request.Lease)] == nil:
		return errLeaseNotFound
	}
	return nil
}

// putKeys returns the keys that the branches put; within a branch no key may be written twice.
func putKeys(branches ...[]operation) (map[string]bool, error) {
	all := map[string]bool{}
	for _, branch := range branches {
		keys := map[string]bool{}
		for _, operation := range branch {
			if err := addPutKeys(keys, operation); err != nil {
				return nil, err
			}
		}
		for _, operation := range branch {
			deletion := operation.RequestDeleteRange
			for key := range keys {
				if deletion != nil && inRange(key, deletion.Key, deletion.RangeEnd) {
					return nil, errDuplicateKey
				}
			}
		}
		maps.Copy(all, keys)
	}
	return all, nil
}

func addPutKeys(keys map[string]bool, operation operation) error {
	added := map[string]bool{}
	if operation.RequestPut != nil {
		added[string(operation.RequestPut.Key)] = true
	}
	if nested := operation.RequestTxn; nested != nil {
		inner, err := putKeys(nested.Success, nested.Failure)
		if err != nil {
			return err
		}
		added = inner
	}
	for key := range added {
		if keys[key] {
			return errDuplicateKey
		}
		keys[key] = true
	}
	return nil
}

// path is the branch that a transaction takes, and those of its nested transactions by index of the operation.
type path struct {
	succeeded bool
	nested    map[int]*path
}

// choose evaluates all conditions, nested ones included, before any write, as etcd does.
func (server *Server) choose(request *txnRequest) *path {
	chosen := &path{succeeded: true, nested: map[int]*path{}}
	for _, compare := range request.Compare {
		chosen.succeeded = chosen.succeeded && server.conditionHolds(compare)
	}
	for index, operation := range request.branch(chosen) {
		if operation.RequestTxn != nil {
			chosen.nested[index] = server.choose(operation.RequestTxn)
		}
	}
	return chosen
}

func (request *txnRequest) branch(path *path) []operation {
	if path.succeeded {
		return request.Success
	}
	return request.Failure
}

func (server *Server) conditionHolds(compare compare) bool {
	found := server.state.keys[string(compare.Key)]
	if found == nil {
		found = &entry{}
		if compare.Target == "VALUE" {
			return false
		}
	}
	var order int
	switch compare.Target {
	case "MOD":
		order = int(found.modRevision - int64(compare.ModRevision))
	case "CREATE":
		order = int(found.createRevision - int64(compare.CreateRevision))
	case "VALUE":
		order = bytes.Compare(found.value, compare.Value)
	default:
		return false
	}
	switch compare.Result {
	case "GREATER":
		return order > 0
	case "LESS":
		return order < 0
	case "NOT_EQUAL":
		return order != 0
	default: // EQUAL, the zero value of the enum, which a request may omit
		return order == 0
	}
}

func (server *Server) apply(request *txnRequest, path *path, revision int64) (object, error) {
	response := object{}.flag("succeeded", path.succeeded)
	var responses []object
	for index, operation := range request.branch(path) {
		result, err := server.applyOne(operation, path.nested[index], revision)
		if err != nil {
			return nil, err
		}
		responses = append(responses, result)
	}
	if len(responses) > 0 {
		response["responses"] = responses
	}
	return response, nil
}

func (server *Server) applyOne(operation operation, nested *path, revision int64) (object, error) {
	switch {
	case operation.RequestRange != nil:
		response, err := server.rangeKeys(operation.RequestRange)
		return object{"response_range": response}, err
	case operation.RequestPut != nil:
		server.applyPut(operation.RequestPut, revision)
		return object{"response_put": object{"header": server.header()}}, nil
	case operation.RequestDeleteRange != nil:
		deletion := operation.RequestDeleteRange
		found := server.state.find(deletion.Key, deletion.RangeEnd)
		for _, entry := range found {
			server.set(revision, string(entry.key), nil)
		}
		response := object{"header": server.header()}.number("deleted", int64(len(found)))
		return object{"response_delete_range": response}, nil
	case operation.RequestTxn != nil:
		response, err := server.apply(operation.RequestTxn, nested, revision)
		return object{"response_txn": response}, err
	}
	return object{}, nil
}

func (server *Server) applyPut(request *putRequest, revision int64) {
	put := &entry{key: request.Key, value: request.Value, createRevision: revision, modRevision: revision, version: 1, lease: int64(request.Lease)}
	if previous := server.state.keys[string(request.Key)]; previous != nil {
		put.createRevision, put.version = previous.createRevision, previous.version+1
	}
	server.set(revision, string(request.Key), put)
}
