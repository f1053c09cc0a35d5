package weights

// UploadPriority says how much a request is worth.
type UploadPriority uint8

// The priorities of requests.
const (
	// UploadNormal is a request that other holders can serve as well.
	UploadNormal UploadPriority = iota
	// UploadUrgent is a request that was refused for a while.
	UploadUrgent
	// UploadRegion is a request of another region's fetcher.
	UploadRegion
)
