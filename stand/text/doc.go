// Package text generates sample documents and searches passages with BM25.
package text
