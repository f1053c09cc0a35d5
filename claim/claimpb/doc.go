// Package claimpb contains the generated messages of the log of claims.
package claimpb
