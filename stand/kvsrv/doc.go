// Package kvsrv stands in for the configuration store: a subset of the etcd v3 JSON gateway, in memory.
package kvsrv
