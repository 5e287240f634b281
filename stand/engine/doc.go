// Package engine holds what all stand-ins of targets share: admission, cold starts, crashes, faults, load reports and a journal.
package engine
