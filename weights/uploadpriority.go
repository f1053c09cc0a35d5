package weights

// UploadPriority is the priority of a request for a chunk.
type UploadPriority uint8

// The priorities of requests.
const (
	// UploadNormal is a request that other holders can serve as well.
	UploadNormal UploadPriority = iota
	// UploadUrgent is a request that peers have refused for
	// PickerConfig.UrgentAfter.
	UploadUrgent
	// UploadRegion is a request from another region's fetcher.
	UploadRegion
)
