// Package claimpb contains the generated messages of the claim log.
package claimpb
