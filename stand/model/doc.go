// Package model simulates model engines: generating engines, encoders, retrievers and rerankers.
package model
