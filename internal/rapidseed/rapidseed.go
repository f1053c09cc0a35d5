package rapidseed

import "flag"

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	fixedSeed  = "1"
	// unsetSeed and defaultChecks are rapid's own defaults.
	unsetSeed     = "0"
	defaultChecks = "100"
)

// Fix parses the flags and fixes rapid's seed. A run that sets the seed or a
// number of checks other than the default keeps its seed and so can draw new
// cases. TestMain of a package that imports rapid calls it.
func Fix() {
	flag.Parse()
	if flagValue(checksFlag) == defaultChecks && flagValue(seedFlag) == unsetSeed {
		_ = flag.Set(seedFlag, fixedSeed)
	}
}

func flagValue(name string) string {
	return flag.Lookup(name).Value.String()
}
