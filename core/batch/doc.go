// Package batch decides which pieces of work go to which target of a batching service, and when.
//
// One pool collects the pieces of all daemons, because batches that each daemon formed by itself would be nearly empty.
package batch
