// Package versiontest makes declarations of versions for tests.
package versiontest
