// Package splitmix mixes the bits of 64-bit numbers for hashing and spreading.
package splitmix
