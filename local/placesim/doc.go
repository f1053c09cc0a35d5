// Package placesim models entries that share model engines, without a network
// and without a clock: the engines after the formula that deployments publish,
// the entries with the pools of routing/places. It compares the policy with a
// baseline on seeded patterns of arrivals. It leaves out links, changes of
// versions and failures, and engines decide without the requests' priorities.
package placesim
