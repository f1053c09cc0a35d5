// Package heldbytes bounds the memory that a process uses for the answers of endpoints, of all
// calls together.
package heldbytes
