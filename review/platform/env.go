package main

import (
	"os"
	"strconv"
)

func envFloat(name string, value float64) float64 {
	if parsed, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return parsed
	}
	return value
}
