package slopes

// Point holds the measured costs of one fleet size. Processor time and memory are
// those of the whole process, fake services and callers included.
type Point struct {
	Agents  int `json:"agents"`
	Entries int `json:"entries"`
	// Measured without calls.
	AgentBytesPerS float64 `json:"agent_bytes_per_s"`
	EntryBytesPerS float64 `json:"entry_bytes_per_s"`
	StoreCallsPerS float64 `json:"store_calls_per_s"`
	IdleCores      float64 `json:"idle_cores"`
	HeapBytes      int64   `json:"heap_bytes"`
	StackBytes     int64   `json:"stack_bytes"`
	Goroutines     int     `json:"goroutines"`
	// Measured under calls; the processor time is above that of the idle fleet.
	Calls           int     `json:"calls"`
	CPUMSPerCall    float64 `json:"cpu_ms_per_call"`
	UrgentTTFTP95MS float64 `json:"urgent_ttft_p95_ms"`
	// Measured in a push; the processor time is above that of the idle fleet and
	// per chunk of one replica.
	CPUMSPerChunk float64 `json:"cpu_ms_per_chunk"`
	TimeToAllS    float64 `json:"time_to_all_s"`
	RatioToIdeal  float64 `json:"ratio_to_ideal"`
	OriginCopies  float64 `json:"origin_copies"`
}
