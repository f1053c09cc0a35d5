package fakeservices

import "io"

// Options configures Serve.
type Options struct {
	// Dir receives the settings files.
	Dir string
	// Entries, Models and Plains are the numbers of instances.
	Entries int
	Models  int
	Plains  int
	// Network is the second byte of all addresses, 127.Network.0.x.
	Network int
	// Progress receives the commands that start the instances.
	Progress io.Writer
}
