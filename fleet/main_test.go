package fleet_test

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is rapid's own default; more checks than that draw new seeds.
const defaultChecks = "100"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.checks").Value.String() == defaultChecks && flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
