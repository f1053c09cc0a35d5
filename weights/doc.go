// Package weights implements the data types and decisions of model weight
// distribution: manifests, verified chunk sets, chunk and source selection,
// upload admission and pacing. Its only I/O is reading an fs.FS to build a
// manifest or read a chunk; the caller passes the current time.
package weights
