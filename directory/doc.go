// Package directory holds what a process believes about the deployment that it
// serves: the operator's document in force, the endpoints, and the declared
// versions of models. Views are immutable values that are replaced as a whole
// (read-copy-update), so that the request path reads them without a lock. An
// adapter fills the package; nothing here performs I/O.
package directory
