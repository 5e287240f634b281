// Package stream splits the streams of targets into events.
package stream
