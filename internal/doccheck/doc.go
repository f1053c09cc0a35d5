// Package doccheck tests the documentation against the code: links, error
// codes, metric names and snipestepctl sessions.
package doccheck
