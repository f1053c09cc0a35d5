// Package fakeservices serves fake platform services and endpoints to entries and
// agents that run as separate processes, and writes the settings files of these.
package fakeservices
