// Package etcd is a client for the store that speaks the etcd v3 JSON gateway protocol over HTTP.
package etcd
