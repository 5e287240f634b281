package pool

import (
	"time"

	"catkincove/core"
)

// announceFor is how long announced work counts when its stage never asks; earlier stages of a request are short.
const announceFor = time.Second

// announcement is work that will be asked for after earlier stages of its request.
type announcement struct {
	team  core.TeamName
	cost  int
	until time.Time
}

type announcementKey struct {
	request core.RequestID
	stage   string
}

// announcements is the work that is expected soon; the zero value is empty.
type announcements struct {
	known map[announcementKey]announcement
	work  map[core.TeamName]int
}

func (announcements *announcements) add(now time.Time, entry *entry) {
	if announcements.known == nil {
		announcements.known = map[announcementKey]announcement{}
		announcements.work = map[core.TeamName]int{}
	}
	announcements.take(entry)
	added := announcement{team: entry.team, cost: entry.cost, until: now.Add(announceFor)}
	announcements.known[announcementKey{entry.request, entry.stage}] = added
	announcements.work[entry.team] += entry.cost
}

// take removes the announcement of the entry and reports whether there was one.
func (announcements *announcements) take(entry *entry) bool {
	key := announcementKey{entry.request, entry.stage}
	_, announced := announcements.known[key]
	if announced {
		announcements.remove(key)
	}
	return announced
}

func (announcements *announcements) remove(key announcementKey) {
	gone := announcements.known[key]
	delete(announcements.known, key)
	announcements.work[gone.team] -= gone.cost
	if announcements.work[gone.team] <= 0 {
		delete(announcements.work, gone.team)
	}
}

func (announcements *announcements) expire(now time.Time) {
	for key, announcement := range announcements.known {
		if now.After(announcement.until) {
			announcements.remove(key)
		}
	}
}

func (announcements *announcements) clear() {
	clear(announcements.known)
	clear(announcements.work)
}

// announce answers an announcement with a refusal, or with a summary when the stage will be served in time.
func (dispatcher *Dispatcher) announce(now time.Time, entry *entry) core.GrantReply {
	if refusal := dispatcher.judge(now, entry); refusal != nil {
		dispatcher.counters.Refused++
		return core.GrantReply{Refused: refusal, Summary: dispatcher.summary()}
	}
	dispatcher.announced.add(now, entry)
	return core.GrantReply{Summary: dispatcher.summary()}
}
