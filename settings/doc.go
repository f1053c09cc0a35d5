// Package settings reads and validates INI files. A Schema declares the sections
// and keys of a file; Load fills the variables that the schema's values are bound
// to. Each error is an *Error that names the file, the line, the section and the
// key. LoadEntry, LoadAgent and LoadDirect read the settings of the programs.
package settings
