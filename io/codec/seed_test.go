package codec

import "flag"

// init fixes the seed of property tests, so that every run gives the same verdict.
func init() { _ = flag.Set("rapid.seed", "20261204") }
