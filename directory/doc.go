// Package directory holds a process's view of the deployment: the current
// configuration document, the endpoints and the declared versions of models.
// Views are immutable and replaced as a whole (read-copy-update), so that the
// request path reads them without a lock. An adapter supplies the data; the
// package performs no I/O.
package directory
