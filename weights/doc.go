// Package weights holds the values and decisions of weight distribution:
// manifests, verified chunk sets, the choice of chunks and sources, upload
// admission and pacing. It performs no I/O except reading an fs.FS to build a
// manifest or a chunk; times are arguments.
package weights
