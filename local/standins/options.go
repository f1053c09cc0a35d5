package standins

import "io"

// Options say what to serve.
type Options struct {
	// Dir receives the settings files.
	Dir string
	// Entries, Models and Plains are the numbers of instances.
	Entries int
	Models  int
	Plains  int
	// Progress receives the commands that start the programs.
	Progress io.Writer
}
