// Package locality decides when a request may be sent outside the failure domain of its entry, and
// how many. Each entry decides for itself from the reports that it has; there are no messages, and
// no part of the package uses I/O or a clock. The caller chooses the endpoint.
//
// A failure domain offers its free slots while enough of them are free. Each entry may use a part
// of an offer until reports cover what it has sent, so that entries which read the same report do
// not fill the failure domain together.
package locality
