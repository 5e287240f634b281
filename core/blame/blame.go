package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"catkincove/core"
)

const (
	// CrashLimit is the number of targets that a request content or a prompt part must have crashed before it is quarantined: two
	// can be an accident, such as a request and its retry that both meet a failing rack.
	CrashLimit         = 3
	crashTTL           = 60 * time.Second       // lifetime of a crash of a content: callers retry a request within their timeouts of some seconds
	partCrashTTL       = 20 * time.Minute       // lifetime of a crash of a part, which new requests bring again and again
	minCrashSpan       = 500 * time.Millisecond // crashes of a part within less time count as one failure of several targets
	partQuarantine     = time.Minute            // quarantine of a part after its newest crash, doubled for each crash beyond CrashLimit
	maxPartCrashes     = 24                     // crashes that are kept of a part
	maxDoublings       = 4                      // the longest quarantine of a part is 16 minutes
	probeInterval      = 10 * time.Second       // time between two requests that probe a part after its quarantine
	testDelay          = time.Second            // time after the newest crash of a part in which it is not tested: its target may still be away
	testInterval       = time.Second            // time between the first two tests of a part, doubled for each further one
	soundTTL           = 60 * time.Second       // time after a completed request in which its parts cannot be suspects
	minRestart         = time.Second            // a target that has crashed responds again later than this
	maxEndings         = 1024                   // endings of responses that are remembered, those of a second
	maxSoundParts      = 8192                   // sound parts that are remembered, about 0.5 MB
	maxContents        = 4096                   // contents and parts that are tracked, about 1 MB
	gossipPeriod       = 4 * time.Second        // time for which a crash is gossiped: the other daemons ask once a second
	maxGossipedCrashes = 64                     // crashes in one message, about 4 KB
	maxGossipedParts   = 64                     // sound parts and contents in one message, about 1 KB
)

// Request is what may crash the targets that run a request.
type Request struct {
	Content core.Fingerprint   // of the whole request
	Parts   []core.Fingerprint // parts of the prompt that other requests share
	Probe   bool               // the request was sent to find out whether its quarantined parts are sound
}

// Crash is one target that crashed while it ran a request.
type Crash struct {
	Content core.Fingerprint // of the request or, with Part, of a part of its prompt
	Part    bool
	With    []core.Fingerprint // other parts of the prompt or, from another daemon, of all prompts with the part that the crash broke off
	Target  string             // identifies one run of a target
	Probe   bool               // a request with the part that was sent as a probe or test met the crash
	Age     time.Duration
}

// CrashTracker holds the recent crashes; the zero value is empty. It is not safe for concurrent use.
//
// It is made for a request that crashes each target that runs it, and that its caller retries at any daemon, and for a prompt
// part that crashes each target which begins to respond to a prompt with it, while no two such requests are alike. Parts of
// requests that have completed are sound.
type CrashTracker struct {
	suspects map[core.Fingerprint]*suspect
	sound    map[core.Fingerprint]time.Time // time of the newest completed request, by part and by content that has had several crashes
	cleared  map[core.Fingerprint]clearance // suspects that were found to be sound; to be gossiped
	unproven []ending                       // oldest first
}

// clearance says that a suspect was found to be sound.
type clearance struct {
	at   time.Time
	part bool
}

// ending is the end of a response that a crash of its target may have brought about.
type ending struct {
	request Request
	target  string
	at      time.Time
}

type suspect struct {
	part     bool
	crashes  map[string]record // by run of a target
	probedAt time.Time
	testedAt time.Time
	tests    int
}

type record struct {
	seenAt time.Time
	probe  bool               // a probe or test met the crash
	local  bool               // observed by this daemon, not received by gossip
	with   []core.Fingerprint // other parts of the prompts that were broken off by the crash and have the suspected one, without those that are sound
}

// Record records a target that crashed under a request as observed by this daemon. Parts that cannot be the cause are left out
// of the request by the caller.
func (crashTracker *CrashTracker) Record(now time.Time, request Request, target string) {
	crashTracker.Add(now, Crash{Content: request.Content, Target: target})
	for i, part := range request.Parts {
		with := slices.Concat(request.Parts[:i], request.Parts[i+1:])
		crashTracker.Add(now, Crash{Content: part, Part: true, With: with, Target: target, Probe: request.Probe})
	}
}

// Add records a crash; one with a zero Age was observed by this daemon.
func (crashTracker *CrashTracker) Add(now time.Time, crash Crash) {
	crash.Age = max(crash.Age, 0)
	if crash.Age > crashTTL && !crash.Part || crash.Age > partCrashTTL {
		return
	}
	if crashTracker.isSound(now, crash.Content) {
		crashTracker.clear(now, crash.Content, crash.Part)
		return
	}
	crash.With = slices.DeleteFunc(slices.Clone(crash.With), func(part core.Fingerprint) bool { return crashTracker.isSound(now, part) })
	known := crashTracker.suspects[crash.Content]
	if known == nil {
		if len(crashTracker.suspects) >= maxContents && !crashTracker.evict(now) {
			return
		}
		known = &suspect{part: crash.Part, crashes: map[string]record{}}
		if crashTracker.suspects == nil {
			crashTracker.suspects = map[core.Fingerprint]*suspect{}
		}
		crashTracker.suspects[crash.Content] = known
	}
	recorded := known.crashes[crash.Target]
	if at := now.Add(-crash.Age); at.After(recorded.seenAt) {
		recorded.seenAt, recorded.local = at, crash.Age == 0
	}
	recorded.with = union(recorded.with, crash.With)
	recorded.probe = recorded.probe || crash.Probe
	known.crashes[crash.Target] = recorded
	if known.part && len(known.crashes) > maxPartCrashes {
		known.removeOldest()
	}
}

func union(a, b []core.Fingerprint) []core.Fingerprint {
	all := slices.Clone(a)
	for _, part := range b {
		if !slices.Contains(all, part) {
			all = append(all, part)
		}
	}
	return all
}

// common returns the parts that every crash has in common with the suspected one. A crash also breaks off sound requests at the same target, which lack the
// part that is to blame; so of each crash all requests count together.
func (suspect *suspect) common() []core.Fingerprint {
	var common []core.Fingerprint
	first := true
	for _, crash := range suspect.crashes {
		if first {
			common, first = slices.Clone(crash.with), false
			continue
		}
		common = slices.DeleteFunc(common, func(part core.Fingerprint) bool { return !slices.Contains(crash.with, part) })
	}
	return common
}

// removeOldest removes the oldest crash but for the first one, which shows how long the crashes have been going on.
func (suspect *suspect) removeOldest() {
	targets := slices.SortedFunc(maps.Keys(suspect.crashes), func(a, b string) int {
		return cmp.Or(suspect.crashes[a].seenAt.Compare(suspect.crashes[b].seenAt), cmp.Compare(a, b))
	})
	delete(suspect.crashes, targets[1])
}

// evict makes room for others and reports whether it found any to remove: expired ones, and half of those with a single crash,
// which after a failure of many targets are nearly all.
func (crashTracker *CrashTracker) evict(now time.Time) bool {
	crashTracker.expire(now)
	keepNext := false
	for content, known := range crashTracker.suspects {
		if len(known.crashes) > 1 {
			continue
		}
		if keepNext = !keepNext; !keepNext {
			delete(crashTracker.suspects, content)
		}
	}
	return len(crashTracker.suspects) < maxContents
}

// Exonerate removes the crashes of a request that has completed. Its parts are sound: a part that crashes targets crashes each
// of them. So is its content, which other daemons have to know if it has had several crashes: they tell each other of these again and again.
func (crashTracker *CrashTracker) Exonerate(now time.Time, request Request) {
	known := crashTracker.suspects[request.Content]
	if known != nil && len(known.crashes) > 1 || crashTracker.isSound(now, request.Content) {
		crashTracker.AddSound(now, request.Content)
	} else {
		delete(crashTracker.suspects, request.Content)
	}
	for _, part := range request.Parts {
		crashTracker.AddSound(now, part)
	}
}

// AddEnding records that the response to a request has ended with its connection, which a crash of the target does as well. The request has completed if the
// same run of the target responds to a request that it got after that.
func (crashTracker *CrashTracker) AddEnding(now time.Time, request Request, target string) {
	crashTracker.expireEndings(now)
	if len(crashTracker.unproven) < maxEndings {
		crashTracker.unproven = append(crashTracker.unproven, ending{request: request, target: target, at: now})
	}
}

// AddResponse records that a run of a target has responded to a request that was sent at a time.
func (crashTracker *CrashTracker) AddResponse(now, sentAt time.Time, target string) {
	crashTracker.expireEndings(now)
	crashTracker.unproven = slices.DeleteFunc(crashTracker.unproven, func(ending ending) bool {
		proven := ending.target == target && sentAt.After(ending.at)
		if proven {
			crashTracker.Exonerate(now, ending.request)
		}
		return proven
	})
}

// expireEndings removes the endings after which a target that has crashed may have restarted.
func (crashTracker *CrashTracker) expireEndings(now time.Time) {
	expired, _ := slices.BinarySearchFunc(crashTracker.unproven, now.Add(-minRestart), func(ending ending, at time.Time) int { return ending.at.Compare(at) })
	crashTracker.unproven = slices.Delete(crashTracker.unproven, 0, expired)
}

// AddSound records that a request with a part of a prompt, or a request with a content that several targets have crashed under, has completed.
func (crashTracker *CrashTracker) AddSound(now time.Time, part core.Fingerprint) {
	if crashTracker.sound == nil {
		crashTracker.sound = map[core.Fingerprint]time.Time{}
	}
	if len(crashTracker.sound) >= maxSoundParts {
		crashTracker.evictSound(now)
	}
	crashTracker.sound[part] = now
	cleared := crashTracker.suspects[part]
	if cleared == nil {
		return
	}
	delete(crashTracker.suspects, part)
	crashTracker.clear(now, part, cleared.part)
	if !cleared.part {
		return
	}
	for _, known := range crashTracker.suspects {
		for target, crash := range known.crashes {
			crash.with = slices.DeleteFunc(slices.Clone(crash.with), func(other core.Fingerprint) bool { return other == part })
			known.crashes[target] = crash
		}
	}
}

// evictSound removes expired parts or, if there are none, half of all.
func (crashTracker *CrashTracker) evictSound(now time.Time) {
	maps.DeleteFunc(crashTracker.sound, func(part core.Fingerprint, _ time.Time) bool { return !crashTracker.isSound(now, part) })
	if len(crashTracker.sound) < maxSoundParts {
		return
	}
	keepNext := false
	maps.DeleteFunc(crashTracker.sound, func(core.Fingerprint, time.Time) bool { keepNext = !keepNext; return !keepNext })
}

func (crashTracker *CrashTracker) isSound(now time.Time, part core.Fingerprint) bool {
	at, found := crashTracker.sound[part]
	return found && now.Sub(at) <= soundTTL
}

func (crashTracker *CrashTracker) clear(now time.Time, content core.Fingerprint, part bool) {
	if crashTracker.cleared == nil {
		crashTracker.cleared = map[core.Fingerprint]clearance{}
	}
	crashTracker.cleared[content] = clearance{at: now, part: part}
}

// Quarantined reports whether the request must not be sent because its content or a part of its prompt has crashed too many
// targets, and names that one.
func (crashTracker *CrashTracker) Quarantined(now time.Time, request Request) (core.Fingerprint, bool) {
	if known := crashTracker.suspects[request.Content]; known != nil && !known.part && known.crashesSince(now.Add(-crashTTL)) >= CrashLimit {
		return request.Content, true
	}
	for _, part := range request.Parts {
		if known := crashTracker.suspects[part]; known != nil && crashTracker.rejects(now, known, request) {
			return part, true
		}
	}
	return 0, false
}

// rejects reports whether the request must not be sent because of one of its parts.
func (crashTracker *CrashTracker) rejects(now time.Time, suspect *suspect, request Request) bool {
	return crashTracker.isGuilty(now, suspect) && suspect.sharesWith(request.Parts)
}

// Probe reports whether the request may be sent to find out whether a part of its prompt still crashes targets: the quarantine has
// lasted its time and no other request probes the part. Only one daemon of the fleet may probe.
func (crashTracker *CrashTracker) Probe(now time.Time, part core.Fingerprint) bool {
	known := crashTracker.suspects[part]
	if known == nil || !known.part || now.Before(known.quarantineEnd()) || now.Sub(known.probedAt) < probeInterval {
		return false
	}
	known.probedAt = now
	return true
}

// Test reports whether a request with quarantined parts may be sent to find out whether they are sound, because a part that it lacks explains their crashes as
// well. Which of such parts has the most crashes says little: a daemon that ends takes with it what it has seen. Only one daemon of the fleet may test.
func (crashTracker *CrashTracker) Test(now time.Time, request Request) bool {
	var tested []*suspect
	for _, part := range request.Parts {
		if known := crashTracker.suspects[part]; known != nil && crashTracker.rejects(now, known, request) {
			if !known.isTestDue(now) || !crashTracker.hasAlternative(now, known, request) {
				return false
			}
			tested = append(tested, known)
		}
	}
	for _, known := range tested {
		known.testedAt = now
		known.tests++
	}
	return len(tested) > 0
}

func (suspect *suspect) isTestDue(now time.Time) bool {
	_, last := suspect.span()
	return now.Sub(last) >= testDelay && now.Sub(suspect.testedAt) >= testInterval<<min(max(suspect.tests-1, 0), maxDoublings)
}

// hasAlternative reports whether a part that the request lacks explains enough crashes of the suspect to be quarantined instead, at least three quarters of all, and those
// of each probe and test.
func (crashTracker *CrashTracker) hasAlternative(now time.Time, suspect *suspect, request Request) bool {
	explained := map[core.Fingerprint]int{}
	probes := 0
	probesExplained := map[core.Fingerprint]int{}
	for target, crash := range suspect.crashes {
		if crash.probe {
			probes++
		}
		for part := range crashTracker.beside(target, crash) {
			if slices.Contains(request.Parts, part) || crashTracker.isSound(now, part) {
				continue
			}
			explained[part]++
			if crash.probe {
				probesExplained[part]++
			}
		}
	}
	for part, count := range explained {
		if count >= CrashLimit && 4*count >= 3*len(suspect.crashes) && probesExplained[part] == probes {
			return true
		}
	}
	return false
}

// beside returns the parts of all requests that a crash broke off, as far as this daemon knows them.
func (crashTracker *CrashTracker) beside(target string, crash record) map[core.Fingerprint]bool {
	parts := map[core.Fingerprint]bool{}
	for _, part := range crash.with {
		parts[part] = true
	}
	for content, known := range crashTracker.suspects {
		if _, found := known.crashes[target]; found && known.part {
			parts[content] = true
		}
	}
	return parts
}

func (suspect *suspect) crashesSince(since time.Time) int {
	count := 0
	for _, known := range suspect.crashes {
		if !known.seenAt.Before(since) {
			count++
		}
	}
	return count
}

// isGuilty reports whether the part has crashed too many targets, not all in one moment. Crashes that another part with more of them
// explains do not count: requests that run beside the one that crashes their target are broken off as well.
func (crashTracker *CrashTracker) isGuilty(now time.Time, suspect *suspect) bool {
	if !suspect.part || suspect.crashesSince(now.Add(-partCrashTTL)) < CrashLimit {
		return false
	}
	if first, last := suspect.span(); last.Sub(first) < minCrashSpan {
		return false
	}
	unexplained := len(suspect.crashes)
	for target := range suspect.crashes {
		for _, other := range crashTracker.suspects {
			if _, found := other.crashes[target]; found && other.part && len(other.crashes) > len(suspect.crashes) {
				unexplained--
				break
			}
		}
	}
	return unexplained >= CrashLimit
}

// span returns the times of the first and the newest crash.
func (suspect *suspect) span() (first, last time.Time) {
	for _, known := range suspect.crashes {
		if first.IsZero() || known.seenAt.Before(first) {
			first = known.seenAt
		}
		if known.seenAt.After(last) {
			last = known.seenAt
		}
	}
	return first, last
}

func (suspect *suspect) quarantineEnd() time.Time {
	_, last := suspect.span()
	return last.Add(partQuarantine << min(max(len(suspect.crashes)-CrashLimit, 0), maxDoublings))
}

// sharesWith reports whether a request has all parts that the crashed requests have in common. Without one of them it is no proof
// of the same kind, and may show which of the parts is sound.
func (suspect *suspect) sharesWith(parts []core.Fingerprint) bool {
	return !slices.ContainsFunc(suspect.common(), func(part core.Fingerprint) bool { return !slices.Contains(parts, part) })
}

// CrashesToGossip returns the crashes that the other daemons need: those of quarantined parts first, then those that this daemon
// has observed recently, and all of contents that crashed several targets. Most contents have one crash, of a target that failed
// by itself; repeating these in each message filled the links of small VMs in a fleet of 71 daemons.
func (crashTracker *CrashTracker) CrashesToGossip(now time.Time) []Crash {
	crashTracker.expire(now)
	var guilty, others []Crash
	for content, known := range crashTracker.suspects {
		if crashTracker.isGuilty(now, known) {
			guilty = append(guilty, known.messages(now, content)...)
			continue
		}
		_, last := known.span()
		several := len(known.crashes) > 1 && (!known.part || now.Sub(last) < 2*gossipPeriod)
		for _, crash := range known.messages(now, content) {
			if len(others) < maxGossipedCrashes && (several || known.crashes[crash.Target].local && crash.Age < gossipPeriod) {
				others = append(others, crash)
			}
		}
	}
	crashes := append(guilty, others...)
	return crashes[:min(len(crashes), maxGossipedCrashes)]
}

// QuarantinedParts returns the crashes of each quarantined part.
func (crashTracker *CrashTracker) QuarantinedParts(now time.Time) map[core.Fingerprint][]Crash {
	parts := map[core.Fingerprint][]Crash{}
	for content, known := range crashTracker.suspects {
		if crashTracker.isGuilty(now, known) {
			parts[content] = known.messages(now, content)
		}
	}
	return parts
}

// messages returns the crashes for other daemons.
func (suspect *suspect) messages(now time.Time, content core.Fingerprint) []Crash {
	var crashes []Crash
	for target, crash := range suspect.crashes {
		age := max(now.Sub(crash.seenAt), time.Nanosecond)
		crashes = append(crashes, Crash{Content: content, Part: suspect.part, With: crash.with, Target: target, Probe: crash.probe, Age: age})
	}
	return crashes
}

// SoundToGossip returns the parts and contents that other daemons may suspect and that have turned out to be sound, parts first.
func (crashTracker *CrashTracker) SoundToGossip(now time.Time) []core.Fingerprint {
	var parts, contents []core.Fingerprint
	for content, cleared := range crashTracker.cleared {
		switch {
		case now.Sub(cleared.at) > gossipPeriod:
			delete(crashTracker.cleared, content)
		case cleared.part:
			parts = append(parts, content)
		default:
			contents = append(contents, content)
		}
	}
	sound := append(parts, contents...)
	return sound[:min(len(sound), maxGossipedParts)]
}

func (crashTracker *CrashTracker) expire(now time.Time) {
	for content, known := range crashTracker.suspects {
		ttl := crashTTL
		if known.part {
			ttl = partCrashTTL
		}
		maps.DeleteFunc(known.crashes, func(_ string, crash record) bool { return now.Sub(crash.seenAt) > ttl })
		if len(known.crashes) == 0 {
			delete(crashTracker.suspects, content)
		}
	}
}
