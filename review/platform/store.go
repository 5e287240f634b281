package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond // of a healthy answer
	pageItems  = 500
	maxWait    = 30 * time.Second
)

type item struct {
	value             []byte
	revision, created int64
	lease             int64
}

type change struct {
	key      string
	item     item
	removed  bool
	revision int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store stands in for the platform's metadata store.
type store struct {
	address string
	mutex   sync.Mutex
	changed *sync.Cond

	revision int64
	items    map[string]item
	history  []change
	leases   map[int64]lease
	silent   bool          // answers nothing, on open and on new channels
	back     chan struct{} // closed when the store is back
}

func newStore(address string) *store {
	store := &store{address: address, revision: 1, items: map[string]item{}, leases: map[int64]lease{}, back: make(chan struct{})}
	store.changed = sync.NewCond(&store.mutex)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("store: %v", err)
	}
	server := &http.Server{Handler: store}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			store.mutex.Lock()
			store.expire()
			store.changed.Broadcast()
			store.mutex.Unlock()
		}
	}()
	return store
}

// setSilent takes the store down without an answer, or back; calls that were held meanwhile end without an answer.
func (store *store) setSilent(silent bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if silent == store.silent {
		return
	}
	store.silent = silent
	if silent {
		store.back = make(chan struct{})
	} else {
		close(store.back)
	}
	store.changed.Broadcast()
}

func (store *store) isSilent() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.silent
}

// write puts a key for the operator or a replica; it reports false while the store is down.
func (store *store) write(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("store: %v", err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.silent {
		return false
	}
	store.put(key, data, 0)
	return true
}

// drop removes a key for the operator or after a replica's silence.
func (store *store) drop(key string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.silent {
		return false
	}
	store.remove(key)
	return true
}

func (store *store) put(key string, value []byte, lease int64) {
	store.revision++
	current, found := store.items[key]
	if !found {
		current.created = store.revision
	}
	current.value, current.revision, current.lease = value, store.revision, lease
	store.items[key] = current
	store.history = append(store.history, change{key: key, item: current, revision: store.revision})
	store.changed.Broadcast()
}

func (store *store) remove(key string) {
	if _, found := store.items[key]; !found {
		return
	}
	store.revision++
	delete(store.items, key)
	store.history = append(store.history, change{key: key, removed: true, revision: store.revision})
	store.changed.Broadcast()
}

// expire ends the leases whose time is over; they pause while the store is down.
func (store *store) expire() {
	if store.silent {
		return
	}
	for id, known := range store.leases {
		if time.Now().Before(known.until) {
			continue
		}
		store.end(id)
	}
}

func (store *store) end(id int64) {
	delete(store.leases, id)
	for key, current := range store.items {
		if current.lease == id {
			store.remove(key)
		}
	}
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	store.mutex.Lock()
	silent, back := store.silent, store.back
	store.mutex.Unlock()
	if silent {
		select {
		case <-back:
		case <-request.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeDelay)
	query, path := request.URL.Query(), request.URL.Path
	var status int
	var message any
	switch {
	case path == "/-/kv-watch":
		status, message = store.watch(request)
	case path == "/-/kv-key":
		status, message = store.get(query.Get("key"))
	case path == "/-/kv-range":
		status, message = store.list(query.Get("path-prefix"), query.Get("after"))
	case path == "/-/kv-txn":
		status, message = store.txn(body)
	case path == "/-/kv-lease":
		status, message = store.grant(body)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		status, message = store.keep(strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		status, message = store.endLease(strings.TrimPrefix(path, "/-/kv-lease-end/"))
	default:
		status = http.StatusNotFound
	}
	if store.isSilent() && path == "/-/kv-watch" { // a watch that waited is cut with the store
		<-back
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if message != nil {
		data, _ := json.Marshal(message)
		_, _ = writer.Write(data)
	}
}

func (store *store) row(key string, current item) map[string]any {
	return map[string]any{
		"key": key, "value": base64.StdEncoding.EncodeToString(current.value), "revision": current.revision, "create-rev": current.created, "lease": current.lease,
		"as-of": store.revision,
	}
}

func (store *store) get(key string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, found := store.items[key]
	if !found {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, store.row(key, current)
}

func (store *store) list(prefix, after string) (int, any) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && (after == "" || key > after) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	rows := []any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		rows = append(rows, store.row(key, store.items[key]))
	}
	return http.StatusOK, map[string]any{"items": rows, "more-pages": more, "as-of": store.revision}
}

func (store *store) watch(request *http.Request) (int, any) {
	query := request.URL.Query()
	prefix := query.Get("path-prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	until := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxWait))
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for {
		if store.silent {
			return http.StatusServiceUnavailable, nil // not sent
		}
		rows := []any{}
		first := sort.Search(len(store.history), func(i int) bool { return store.history[i].revision > after })
		for _, change := range store.history[first:] {
			switch {
			case !strings.HasPrefix(change.key, prefix):
			case change.removed:
				rows = append(rows, map[string]any{"key": change.key, "revision": change.revision, "tombstone": true})
			default:
				rows = append(rows, store.row(change.key, change.item))
			}
		}
		if len(rows) > 0 || time.Now().After(until) || request.Context().Err() != nil {
			return http.StatusOK, map[string]any{"events": rows, "as-of": store.revision}
		}
		store.changed.Wait()
	}
}

func (store *store) txn(body []byte) (int, any) {
	var message map[string][]any
	if err := json.Unmarshal(body, &message); err != nil {
		return http.StatusBadRequest, nil
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	rows, met := []any{}, true
	for _, element := range message["expected-rev"] {
		condition := element.(map[string]any)
		key := condition["key"].(string)
		current, found := store.items[key]
		met = met && float64(current.revision) == condition["revision"].(float64)
		if found {
			rows = append(rows, store.row(key, current))
		} else {
			rows = append(rows, map[string]any{"key": key, "revision": 0})
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": rows}
	}
	for _, element := range message["puts"] {
		if id, _ := element.(map[string]any)["lease"].(float64); id != 0 {
			if _, found := store.leases[int64(id)]; !found {
				return http.StatusNotFound, nil
			}
		}
	}
	for _, element := range message["puts"] {
		row := element.(map[string]any)
		value, err := base64.StdEncoding.DecodeString(row["value"].(string))
		if err != nil {
			return http.StatusBadRequest, nil
		}
		id, _ := row["lease"].(float64)
		store.put(row["key"].(string), value, int64(id))
	}
	for _, key := range message["remove"] {
		store.remove(key.(string))
	}
	return http.StatusOK, map[string]any{"revision": store.revision}
}

func (store *store) grant(body []byte) (int, any) {
	var message map[string]float64
	if err := json.Unmarshal(body, &message); err != nil {
		return http.StatusBadRequest, nil
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	ttl := time.Duration(message["ttl-ms"]) * time.Millisecond
	store.leases[store.revision] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": store.revision, "ttl-ms": ttl.Milliseconds()}
}

func (store *store) keep(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known, found := store.leases[id]
	if !found {
		return http.StatusNotFound, nil
	}
	known.until = time.Now().Add(known.ttl)
	store.leases[id] = known
	return http.StatusOK, map[string]any{"ttl-ms": known.ttl.Milliseconds()}
}

func (store *store) endLease(text string) (int, any) {
	id, _ := strconv.ParseInt(text, 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if _, found := store.leases[id]; !found {
		return http.StatusNotFound, nil
	}
	store.end(id)
	return http.StatusOK, map[string]any{}
}
