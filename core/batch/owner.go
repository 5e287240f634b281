package batch

import (
	"slices"

	"catkincove/core"
)

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
