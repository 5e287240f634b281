package batch

// Arms divides the calls of a service between two software versions of its targets.
type Arms interface {
	// Allowed reports whether a target of a version may get a call now.
	Allowed(version string) bool
	// Began counts a call that is sent to a target of a version.
	Began(version string)
}

// divide records which targets may get calls now. Those that may not count as unusable, also in forecasts.
func (pool *Pool) divide() {
	if pool.Arms == nil {
		return
	}
	allowed := map[string]bool{}
	for _, worker := range pool.workers {
		if _, known := allowed[worker.Version]; !known {
			allowed[worker.Version] = pool.Arms.Allowed(worker.Version)
		}
		worker.withheld = !allowed[worker.Version]
	}
}

// began counts a call.
func (pool *Pool) began(worker *worker) {
	if pool.Arms != nil {
		pool.Arms.Began(worker.Version)
		pool.divide()
	}
}
