package pool

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

// entry is one request from its first ask until its grant is returned.
type entry struct {
	id          core.GrantID
	serial      uint64
	request     core.RequestID
	stage       string
	attempt     int
	team        core.TeamName
	fingerprint core.Fingerprint
	prefix      []uint64
	exclude     []core.TargetName
	priority    int
	cost        int // expected work, at least 1
	timeLeft    time.Duration
	enqueued    time.Time
	deadline    time.Time
	reserve     time.Duration
	expected    time.Duration // wait expected at enqueue time
	promised    bool          // was announced and not refused
	seen        time.Time     // last ask
	target      *target       // nil while waiting
	granted     time.Time
	until       time.Time
	alone       bool
	blamed      bool // a crash of the target has been attributed already
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline), cmp.Compare(a.serial, b.serial))
}

// teamQueue holds the waiting requests of one team in the order in which they are served.
type teamQueue struct {
	entries []*entry
	work    int
	weight  int
	deficit int
}

// queue serves teams by deficit round robin.
type queue struct {
	teams    map[core.TeamName]*teamQueue
	ring     []*teamQueue
	at       int
	credited bool // the team at the present position has its quantum for this visit
	quantum  int  // largest cost since the queue was last empty, so that each visit affords one request
	length   int
	work     int
}

func (queue *queue) add(entry *entry, weight int) {
	team := queue.teams[entry.team]
	if team == nil {
		team = &teamQueue{}
		queue.teams[entry.team] = team
		queue.ring = append(queue.ring, team)
	}
	team.weight = max(1, weight)
	position, _ := slices.BinarySearchFunc(team.entries, entry, compareEntries)
	team.entries = slices.Insert(team.entries, position, entry)
	team.work += entry.cost
	queue.quantum = max(queue.quantum, entry.cost)
	queue.length++
	queue.work += entry.cost
}

func (queue *queue) remove(entry *entry) bool {
	team := queue.teams[entry.team]
	if team == nil {
		return false
	}
	position, found := slices.BinarySearchFunc(team.entries, entry, compareEntries)
	if !found {
		return false
	}
	team.entries = slices.Delete(team.entries, position, position+1)
	team.work -= entry.cost
	queue.length--
	queue.work -= entry.cost
	if len(team.entries) == 0 {
		queue.removeTeam(entry.team)
	}
	return true
}

func (queue *queue) removeTeam(name core.TeamName) {
	position := slices.Index(queue.ring, queue.teams[name])
	delete(queue.teams, name)
	queue.ring = slices.Delete(queue.ring, position, position+1)
	switch {
	case position < queue.at:
		queue.at--
	case position == queue.at:
		queue.credited = false
	}
	if queue.at >= len(queue.ring) {
		queue.at = 0
	}
	if len(queue.ring) == 0 {
		queue.quantum = 0
	}
}

// next removes and returns the first request in fair order that take accepts, or nil.
func (queue *queue) next(take func(*entry) bool) *entry {
	// The team at the present position may need a full round to be credited again.
	for visits := 0; visits <= len(queue.ring) && len(queue.ring) > 0; visits++ {
		team := queue.ring[queue.at]
		queue.credit(team)
		if entry := team.first(take); entry != nil {
			team.deficit -= entry.cost
			queue.remove(entry)
			return entry
		}
		queue.at = (queue.at + 1) % len(queue.ring)
		queue.credited = false
	}
	return nil
}

func (queue *queue) credit(team *teamQueue) {
	if queue.credited {
		return
	}
	quantum := queue.quantum * team.weight
	// A team whose requests cannot be placed must not save up an unbounded share.
	team.deficit = min(team.deficit+quantum, 2*quantum)
	queue.credited = true
}

func (team *teamQueue) first(take func(*entry) bool) *entry {
	for _, entry := range team.entries {
		if entry.cost > team.deficit {
			return nil
		}
		if take(entry) {
			return entry
		}
	}
	return nil
}

// workAhead estimates the work, waiting and announced, that is served before the entry.
func (queue *queue) workAhead(entry *entry, announced map[core.TeamName]int, weightOf func(core.TeamName) int) int {
	own := queue.teams[entry.team]
	before := entry.cost + announced[entry.team]
	if own != nil {
		position, _ := slices.BinarySearchFunc(own.entries, entry, compareEntries)
		for _, earlier := range own.entries[:position] {
			before += earlier.cost
		}
	}
	ahead := before - entry.cost
	weight := weightOf(entry.team)
	for _, team := range queue.ring {
		if team != own {
			ahead += min(team.work, before*team.weight/weight)
		}
	}
	for name, work := range announced {
		if name != entry.team {
			ahead += min(work, before*weightOf(name)/weight)
		}
	}
	return ahead
}

// longest returns the last request of the team with the most waiting work for its weight, or nil.
func (queue *queue) longest() *entry {
	var most *teamQueue
	for _, team := range queue.ring {
		if most == nil || team.work*most.weight > most.work*team.weight {
			most = team
		}
	}
	if most == nil {
		return nil
	}
	return most.entries[len(most.entries)-1]
}

func (queue *queue) all() []*entry {
	entries := make([]*entry, 0, queue.length)
	for _, team := range queue.ring {
		entries = append(entries, team.entries...)
	}
	return entries
}
