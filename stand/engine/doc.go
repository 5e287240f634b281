// Package engine is the common part of all simulated targets: admission, cold starts, crashes, faults, load reports and
// a journal.
package engine
