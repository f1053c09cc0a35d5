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

// Fix parses the flags and fixes rapid's seed, unless the command line gives
// one or asks for another number of checks than usual: these draw new cases.
// It is for TestMain of a package that imports rapid.
func Fix() {
	flag.Parse()
	if value(checksFlag) == defaultChecks && value(seedFlag) == unsetSeed {
		_ = flag.Set(seedFlag, fixedSeed)
	}
}

func value(name string) string {
	return flag.Lookup(name).Value.String()
}
