package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shareWindows is the number of periods in a lifetime of a result over which the room of a class is averaged.
	shareWindows = 2
	// shareSampling is the shortest time between two samples of the room that the classes have.
	shareSampling = 20 * time.Millisecond
)

// share is the claim of one class of jobs on the room for results.
type share struct {
	class     string
	bytes     int64                  // size of its last result
	sum       float64                // of the bytes that it held at all targets, times seconds, in the present period
	lately    [shareWindows]int64    // mean of the bytes that it held in each of the last periods
	submitted [shareWindows + 1]bool // it got jobs in the present and in each of the last periods
}

func (share *share) active() bool {
	return slices.Contains(share.submitted[:], true) || slices.Max(share.lately[:]) > 0
}

// endPeriod begins the next period.
func (share *share) endPeriod(took time.Duration) {
	copy(share.lately[1:], share.lately[:])
	copy(share.submitted[1:], share.submitted[:])
	share.lately[0], share.submitted[0], share.sum = int64(share.sum/took.Seconds()), false, 0
}

// shareOf returns the share of a class that gets a job with results of the size.
func (pool *Pool) shareOf(class string, bytes int64) *share {
	known := pool.shares[class]
	if known == nil {
		known = &share{class: class}
		pool.shares[class] = known
	}
	known.bytes, known.submitted[0] = bytes, true
	return known
}

// measureShares records how much room the classes have, and forgets those that were idle for a lifetime of a result.
func (pool *Pool) measureShares(now time.Time) {
	period := pool.spec.ResultTTL / shareWindows
	if pool.sharesMeasuredAt.IsZero() {
		pool.sharesMeasuredAt, pool.sharesChangeAt = now, now.Add(period)
	}
	elapsed := now.Sub(pool.sharesMeasuredAt)
	if elapsed < shareSampling && now.Before(pool.sharesChangeAt) {
		return
	}
	pool.sharesMeasuredAt = now
	for _, worker := range pool.workers {
		for share, bytes := range worker.heldBytes {
			if share != nil {
				share.sum += float64(bytes) * elapsed.Seconds()
			}
		}
	}
	if now.Before(pool.sharesChangeAt) {
		return
	}
	took := max(now.Sub(pool.sharesChangeAt)+period, time.Millisecond)
	pool.sharesChangeAt = now.Add(period)
	for class, share := range pool.shares {
		if share.endPeriod(took); !share.active() {
			delete(pool.shares, class)
		}
	}
}

// entitlement returns the room at one target that is kept for the class, in whole results: what it had lately and one
// result more, at most an equal part of the room.
func (pool *Pool) entitlement(share *share, usable int64) int64 {
	if !share.active() || share.bytes <= 0 {
		return 0
	}
	needed := slices.Max(share.lately[:])/int64(max(len(pool.workers), 1)) + share.bytes
	entitled := min(usable/int64(len(pool.shares)), needed)
	return entitled - entitled%share.bytes
}

// hold records that results of the class take this many bytes more at the target.
func (worker *worker) hold(share *share, bytes int64) {
	if worker.heldBytes[share] += bytes; worker.heldBytes[share] == 0 {
		delete(worker.heldBytes, share)
	}
}

// room is what a target has left for the results of one call.
//
// Load pattern: a burst of a class with large results, which nobody frees, beside a class that needs a hundredth of the room. A
// class may use all room but what is kept for classes with smaller results that were active lately. Between results of one size the
// due time decides: room that is kept among them stands empty while others wait.
type room struct {
	free int64
	held int64 // by results that the pool knows, and those that were taken for the call
	kept []keptRoom
	// beyond is what may be free beyond the estimate, for results that are smaller than the smallest one that found no room.
	beyond int64
}

type keptRoom struct {
	share *share
	bytes int64
}

func (pool *Pool) room(now time.Time, worker *worker) room {
	foreign := worker.unaccounted.at(now)
	room := room{free: worker.freeResultBytes(now, pool.spec), held: worker.reservedBytes + worker.retainedBytes}
	if foreign > 0 {
		room.beyond = max(worker.unaccounted.refused-1, 0)
	}
	if len(pool.shares) < 2 {
		return room
	}
	for _, share := range pool.shares {
		if bytes := pool.entitlement(share, usableResultBytes(pool.spec)-foreign) - worker.heldBytes[share]; bytes > 0 {
			room.kept = append(room.kept, keptRoom{share, bytes})
		}
	}
	return room
}

// fits reports whether a result of the job may be placed at the target. One that is larger than its share needs an empty target.
func (room *room) fits(job *job) bool {
	free := room.free
	if job.ResultBytes <= room.beyond {
		free += room.beyond
	}
	var others int64
	for _, kept := range room.kept {
		if kept.share.bytes < job.ResultBytes {
			others += kept.bytes
		}
	}
	return job.ResultBytes <= free && (job.ResultBytes+others <= free || room.held == 0)
}

// take uses room for a result of the job.
func (room *room) take(job *job) {
	room.free -= job.ResultBytes
	room.held += job.ResultBytes
	for i, kept := range room.kept {
		if kept.share == job.share {
			room.kept[i].bytes -= min(kept.bytes, job.ResultBytes)
		}
	}
}

// ClassRoom is the room for results that a class of jobs has at all targets together.
type ClassRoom struct {
	Class     string
	HeldBytes int64 // of its results and those of its calls
	KeptBytes int64 // that other classes leave to it
	Queued    int   // pieces
}

// Room returns the room of each class, for the log.
func (pool *Pool) Room(now time.Time) []ClassRoom {
	byClass := map[string]*ClassRoom{}
	at := func(class string) *ClassRoom {
		if byClass[class] == nil {
			byClass[class] = &ClassRoom{Class: class}
		}
		return byClass[class]
	}
	for _, waiting := range pool.queue {
		at(waiting.job.Class).Queued++
	}
	for _, worker := range pool.workers {
		for share, bytes := range worker.heldBytes {
			if share != nil {
				at(share.class).HeldBytes += bytes
			}
		}
		for _, kept := range pool.room(now, worker).kept {
			at(kept.share.class).KeptBytes += kept.bytes
		}
	}
	var classes []ClassRoom
	for _, class := range byClass {
		classes = append(classes, *class)
	}
	slices.SortFunc(classes, func(a, b ClassRoom) int { return cmp.Compare(a.Class, b.Class) })
	return classes
}
