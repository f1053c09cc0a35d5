// Package crowdtest holds tests that start the entries of both paths as processes and send them
// callers that keep no limits. They are behind the build tag crowd, since each needs the machine to
// itself; `make test` runs them after all others.
package crowdtest
