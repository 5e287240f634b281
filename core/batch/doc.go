// Package batch decides which pieces of work go to which target of a batching service, and when: one pool collects the
// pieces of all daemons, because each daemon alone would send batches that are nearly empty.
package batch
