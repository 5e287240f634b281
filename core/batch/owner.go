package batch

import (
	"slices"
	"time"

	"catkincove/core"
)

// maxAdopted limits the results that one message of a daemon makes a pool account for.
const maxAdopted = 1000

// HeldResults are results of one class that a daemon holds and that another sender made.
type HeldResults struct {
	Class   string
	Bytes   int64         // of one result
	Left    time.Duration // time until they expire
	Handles []string
}

// Adopt accounts for results that a daemon holds and that an earlier sender made, and returns how many it did not know, with their
// bytes. They are freed like those of this pool, also when their owner has terminated.
//
// Load pattern: a sender that ends while its targets are full of results that live daemons hold. Its successor meets them as results
// that it can't explain, and goes on counting them after their holders have freed them.
func (pool *Pool) Adopt(now time.Time, owner string, held []HeldResults, address func(handle string) string) (count int, bytes int64) {
	workers := map[string]*worker{}
	for _, worker := range pool.workers {
		if !worker.removed {
			workers[worker.Address] = worker
		}
	}
	for _, results := range held {
		if results.Bytes <= 0 || results.Bytes > pool.spec.MaxResultBytes || results.Left <= 0 {
			continue
		}
		expires := now.Add(min(results.Left, pool.spec.ResultTTL))
		for _, handle := range results.Handles {
			worker := workers[address(handle)]
			if worker == nil || count >= maxAdopted {
				continue
			}
			if _, known := worker.retainedResults[handle]; known {
				continue
			}
			worker.retain(handle, retainedResult{owner: owner, share: pool.shareOf(results.Class, results.Bytes), bytes: results.Bytes, expires: expires})
			worker.unaccounted.bytes = max(worker.unaccounted.bytes-results.Bytes, 0)
			for _, call := range pool.calls {
				if call.worker == worker {
					call.heldBytes += results.Bytes // its response is no evidence of further results
				}
			}
			count, bytes = count+1, bytes+results.Bytes
		}
	}
	return count, bytes
}

// Abandon ends the jobs of a daemon that has terminated and returns the handles of all results that it held.
//
// Load pattern: many daemons that are killed at once. Nobody else frees what their requests held, and their queued jobs would take
// time and room for callers that are gone.
func (pool *Pool) Abandon(owner string) (ended []Result, unused []string) {
	if owner == "" {
		return nil, nil
	}
	for id, job := range pool.jobs {
		if job.Owner == owner {
			pool.drop(job)
			ended = append(ended, Result{Job: id, Fault: core.PieceFailed})
		}
	}
	for _, worker := range pool.workers {
		for handle, result := range worker.retainedResults {
			if result.owner == owner {
				unused = append(unused, handle)
			}
		}
	}
	slices.Sort(unused)
	return ended, unused
}
