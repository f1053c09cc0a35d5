// Package standins serves the stand-ins of the platform and the endpoints to
// entries and agents that run as processes of their own, and writes the
// settings of these.
package standins
