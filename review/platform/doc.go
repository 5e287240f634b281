// Command platform plays the scripts of the review: it starts daemons as processes of their own, and stands in for the store, the replicas, the
// consumers and the operator. It is a module of its own, so that the project's build, linter and tests leave it out.
package main
