package held

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/batch"
)

const (
	maxTold       = 1000        // handles in one message, about 40 KB
	maxSenders    = 4           // senders whose pools count a result
	purgeInterval = time.Second // time between searches for results that have expired
)

// Book knows the results that the requests of this daemon hold, and the daemons whose pools count them; it is safe for concurrent
// use. The zero value is empty.
type Book struct {
	mutex    sync.Mutex
	entries  map[string]*entry        // by handle
	settled  map[string]core.MemberID // by service: the run of a sender that was told of all results of the service
	purgedAt time.Time
}

// Sender is the run of a daemon at its peer address.
type Sender struct {
	Peer string
	Run  core.MemberID
}

// entry are the results of one stage of one request.
type entry struct {
	service, class string
	senders        []Sender // whose pools count them: the one that made them, and those that were told
	bytes          int64    // of one result
	expires        time.Time
	handles        []string
}

// Add notes that a request holds the results, which the pool at the sender counts until they expire.
func (book *Book) Add(now time.Time, service string, sender Sender, results batch.HeldResults) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.entries == nil {
		book.entries, book.settled = map[string]*entry{}, map[string]core.MemberID{}
	}
	if book.settled[service] != sender.Run {
		delete(book.settled, service)
	}
	if now.Sub(book.purgedAt) > purgeInterval {
		book.purgedAt = now
		maps.DeleteFunc(book.entries, func(_ string, entry *entry) bool { return !now.Before(entry.expires) })
	}
	added := &entry{service: service, class: results.Class, senders: []Sender{sender}, bytes: results.Bytes, expires: now.Add(results.Left), handles: results.Handles}
	for _, handle := range results.Handles {
		book.entries[handle] = added
	}
}

// Remove forgets results that are no longer held and returns their handles by the daemons whose pools count them: the sender if the
// book does not know them. A former sender counts them too as long as it runs.
func (book *Book) Remove(handles []string, sender string) map[string][]string {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	bySender := map[string][]string{}
	for _, handle := range handles {
		known := book.entries[handle]
		delete(book.entries, handle)
		if known == nil {
			known = &entry{senders: []Sender{{Peer: sender}}}
		}
		for _, counting := range known.senders {
			if told := bySender[counting.Peer]; !slices.Contains(told[max(len(told)-1, 0):], handle) { // of another run at the address
				bySender[counting.Peer] = append(told, handle)
			}
		}
	}
	return bySender
}

// Tell returns what the requests hold of the service that only the pools of other senders count; the pool of this sender counts that from
// now on, too. Of more than fits in a message, it returns the largest results.
func (book *Book) Tell(now time.Time, service string, sender Sender) []batch.HeldResults {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.settled[service] == sender.Run {
		return nil // most requests end here, without the cost of a search
	}
	remaining := map[*entry][]string{}
	var found []*entry
	for handle, entry := range book.entries {
		known := func(told Sender) bool { return told.Run == sender.Run }
		if entry.service != service || len(entry.senders) >= maxSenders || slices.ContainsFunc(entry.senders, known) || !now.Before(entry.expires) {
			continue
		}
		if remaining[entry] == nil {
			found = append(found, entry)
		}
		remaining[entry] = append(remaining[entry], handle)
	}
	slices.SortFunc(found, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), b.expires.Compare(a.expires), cmp.Compare(a.handles[0], b.handles[0]))
	})
	var results []batch.HeldResults
	count := 0
	for _, entry := range found {
		if count += len(remaining[entry]); count > maxTold {
			break
		}
		slices.Sort(remaining[entry])
		entry.senders = append(entry.senders, sender)
		results = append(results, batch.HeldResults{Class: entry.class, Bytes: entry.bytes, Left: entry.expires.Sub(now), Handles: remaining[entry]})
	}
	if count <= maxTold && book.settled != nil {
		book.settled[service] = sender.Run
	}
	return results
}
