// Package etcd is the store client: the etcd v3 JSON gateway protocol over HTTP.
package etcd
