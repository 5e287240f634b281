// Package proof holds the integration tests: daemons as processes of their own, stand-ins of the platform in the test
// process, and fault-injecting proxies between them.
package proof
