package fleet

// MaxDocumentBytes is the maximum size of an encoded Document.
const MaxDocumentBytes = 1 << 20

const (
	maxNameBytes      = 256
	maxOrganisations  = 4096
	maxPlacements     = 1024
	maxReplicas       = 100_000
	maxPatienceMS     = 10 * 60 * 1000
	maxStreamGraceMS  = 60 * 60 * 1000
	maxHistoryEntries = 32
)
