// Package reach tells from the results of connections whether a daemon has lost its paths to the targets, which says nothing about the
// targets.
package reach
