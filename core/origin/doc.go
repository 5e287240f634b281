// Package origin remembers which software version of a service began each stream, because only a target of that version may continue it.
package origin
