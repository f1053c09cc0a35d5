package weights

import "github.com/snipestep/snipestep/core"

// Target is an instance that is to hold the model.
type Target struct {
	ID     core.InstanceID
	Region string
}
