package etcd

import "maps"

// Counters counts calls by path and the bytes of request and response bodies.
type Counters struct {
	Calls         map[string]int64 // a watch counts once
	Failures      map[string]int64 // attempts that failed because the store was unavailable
	BytesSent     int64
	BytesReceived int64
}

// Counters returns a copy, suited to expvar.Func.
func (client *Client) Counters() Counters {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	counters := client.counters
	counters.Calls = maps.Clone(counters.Calls)
	counters.Failures = maps.Clone(counters.Failures)
	return counters
}

func (client *Client) count(update func(*Counters)) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.counters.Calls == nil {
		client.counters.Calls = make(map[string]int64)
		client.counters.Failures = make(map[string]int64)
	}
	update(&client.counters)
}
