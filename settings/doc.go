// Package settings reads INI files with full checking. A Schema declares the
// sections and keys of a file; Load fills the variables that the schema's
// values are bound to. Each error is an *Error that names the file, the line,
// the section and the key. LoadEntry and LoadAgent read the settings of the
// programs.
package settings
