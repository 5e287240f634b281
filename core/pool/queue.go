package pool

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

// entry is one request from its arrival until its grant is returned.
type entry struct {
	id              core.GrantID
	serial          uint64
	request         core.RequestID
	stage           string
	attempt         int
	team            core.TeamName
	fingerprint     core.Fingerprint
	prefix          []uint64
	exclude         []core.TargetName
	priority        int
	cost            int // expected work, at least 1
	timeLeft        time.Duration
	enqueued        time.Time
	deadline        time.Time
	reservedTime    time.Duration
	expectedWait    time.Duration // estimated on arrival
	prechecked      bool          // its precheck was accepted
	lastRequested   time.Time     // arrival or last poll
	target          *target       // nil while queued
	grantedAt       time.Time
	expires         time.Time
	exclusive       bool
	crashAttributed bool // a crash of the target was attributed while the request was in flight
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline), cmp.Compare(a.serial, b.serial))
}

// teamQueue holds the queued requests of one team in the order in which they are served.
type teamQueue struct {
	entries []*entry
	work    int
	weight  int
	deficit int
}

// queue serves teams by deficit round robin.
type queue struct {
	teams        map[core.TeamName]*teamQueue
	ring         []*teamQueue
	current      int  // index in ring of the team to serve
	quantumAdded bool // whether the current team got its quantum in this visit
	quantum      int  // largest cost since the queue was last empty, so that each visit can pay for one request
	length       int
	work         int
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
	case position < queue.current:
		queue.current--
	case position == queue.current:
		queue.quantumAdded = false
	}
	if queue.current >= len(queue.ring) {
		queue.current = 0
	}
	if len(queue.ring) == 0 {
		queue.quantum = 0
	}
}

// next removes and returns the first request in deficit round robin order that passes accept, or nil.
func (queue *queue) next(accept func(*entry) bool) *entry {
	// The current team may need a full round to get its next quantum.
	for visits := 0; visits <= len(queue.ring) && len(queue.ring) > 0; visits++ {
		team := queue.ring[queue.current]
		queue.addQuantum(team)
		if entry := team.first(accept); entry != nil {
			team.deficit -= entry.cost
			queue.remove(entry)
			return entry
		}
		queue.current = (queue.current + 1) % len(queue.ring)
		queue.quantumAdded = false
	}
	return nil
}

func (queue *queue) addQuantum(team *teamQueue) {
	if queue.quantumAdded {
		return
	}
	quantum := queue.quantum * team.weight
	// The deficit of a team whose requests fit no target must not grow without bound.
	team.deficit = min(team.deficit+quantum, 2*quantum)
	queue.quantumAdded = true
}

func (team *teamQueue) first(accept func(*entry) bool) *entry {
	for _, entry := range team.entries {
		if entry.cost > team.deficit {
			return nil
		}
		if accept(entry) {
			return entry
		}
	}
	return nil
}

// workAhead estimates the queued and prechecked work that will be served before the entry.
func (queue *queue) workAhead(entry *entry, prechecked map[core.TeamName]int, weightOf func(core.TeamName) int) int {
	own := queue.teams[entry.team]
	before := entry.cost + prechecked[entry.team]
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
	for name, work := range prechecked {
		if name != entry.team {
			ahead += min(work, before*weightOf(name)/weight)
		}
	}
	return ahead
}

// lastOfLongest returns the last request of the team with the most queued work for its weight, or nil.
func (queue *queue) lastOfLongest() *entry {
	var longest *teamQueue
	for _, team := range queue.ring {
		if longest == nil || team.work*longest.weight > longest.work*team.weight {
			longest = team
		}
	}
	if longest == nil {
		return nil
	}
	return longest.entries[len(longest.entries)-1]
}

func (queue *queue) all() []*entry {
	entries := make([]*entry, 0, queue.length)
	for _, team := range queue.ring {
		entries = append(entries, team.entries...)
	}
	return entries
}
