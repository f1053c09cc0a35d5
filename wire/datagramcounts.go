package wire

// DatagramCounts counts the datagrams and bytes of a transport since it was
// opened.
type DatagramCounts struct {
	Sent, SentBytes         int64
	Received, ReceivedBytes int64
	// Dropped is the number of datagrams that failed authentication.
	Dropped int64
}
