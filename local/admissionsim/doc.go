// Package admissionsim simulates entries that share model engines, without a network
// and in simulated time. Engines follow the performance formula that deployments
// publish; entries use the pools of routing/admission. It compares the pool with a
// baseline on seeded arrival patterns. It leaves out links, version changes and
// failures, and its engines ignore the priorities of requests.
package admissionsim
