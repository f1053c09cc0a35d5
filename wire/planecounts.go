package wire

// PlaneCounts are the datagrams of a plane since it was opened.
type PlaneCounts struct {
	Sent, SentBytes         int64
	Received, ReceivedBytes int64
	// Dropped are the datagrams that failed authentication.
	Dropped int64
}
