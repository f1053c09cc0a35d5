// Package claimpb has the generated messages of the log of claims.
package claimpb
