// Package kvsrv simulates the configuration store: an in-memory server for a subset of the etcd v3 JSON gateway.
package kvsrv
