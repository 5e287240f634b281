// Package model stands in for model engines: generating engines, encoders, retrievers and rerankers.
package model
