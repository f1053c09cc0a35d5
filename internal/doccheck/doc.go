// Package doccheck holds the pages against the code by its tests: links,
// refusal codes, metrics and printed plans.
package doccheck
