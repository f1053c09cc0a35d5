package main

import (
	"time"

	"github.com/alecthomas/kong"
)

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const defaultTimeout = 30 * time.Second

// CLI is the command line.
type CLI struct {
	Config  string        `help:"INI file with section [operator] and keys servers, token, output and timeout." env:"SNIPESTEP_CONFIG" type:"path" placeholder:"FILE"`
	Server  []string      `help:"Base URL of an entry, e.g. http://10.0.0.1:8080; several are tried in turn." env:"SNIPESTEP_SERVERS" placeholder:"URL"`
	Token   string        `help:"Operator's bearer token." env:"SNIPESTEP_TOKEN" placeholder:"TOKEN"`
	Output  string        `short:"o" help:"Form of the output: table or json." env:"SNIPESTEP_OUTPUT" placeholder:"FORM"`
	Timeout time.Duration `help:"Time limit of each command but watch, 30s by default." env:"SNIPESTEP_TIMEOUT" placeholder:"TIME"`

	Intent  intentCommands `cmd:"" help:"Propose an intent; nothing changes until its plan is confirmed."`
	Plan    planCommands   `cmd:"" help:"Show a plan."`
	Confirm confirmCommand `cmd:"" help:"Confirm a plan."`
	Status  statusCommand  `cmd:"" help:"Show the state of the fleet."`
	Watch   watchCommand   `cmd:"" help:"Show the state of the fleet after each change."`
	Explain explainCommand `cmd:"" help:"Tell from log files what became of a request; needs no server."`
	Check   checkCommand   `cmd:"" help:"Check a document of the platform before it is written to the store; needs no server."`
}

type intentCommands struct {
	Place  placeCommand  `cmd:"" help:"Say which version of a model is served where."`
	Rank   rankCommand   `cmd:"" help:"Say which work has a rank, and what the rank gets."`
	Stop   stopCommand   `cmd:"" help:"Take endpoints out of service for good."`
	Drain  drainCommand  `cmd:"" help:"Take endpoints out of service until resumed."`
	Resume resumeCommand `cmd:"" help:"Return drained endpoints to service."`
}

type planCommands struct {
	Show showCommand `cmd:"" help:"Show waves, capacity, bytes and time."`
	Diff diffCommand `cmd:"" help:"Show what changes in the configuration."`
}

func newParser(cli *CLI, options ...kong.Option) (*kong.Kong, error) {
	options = append([]kong.Option{
		kong.Name("snipestepctl"),
		kong.Description("Operators' command line of snipestep. Exit codes: 0 success, 1 refused or failed, " +
			"2 wrong usage or settings, 3 conflict or stale plan, 4 no server gives a whole answer, 5 outcome unknown, 130 interrupted."),
	}, options...)
	return kong.New(cli, options...)
}

// settings returns the settings of the file, overridden by the environment and the
// command line. Its errors are *SettingsError or *UsageError.
func (c *CLI) settings() (Settings, error) {
	merged := Settings{Output: outputTable, Timeout: defaultTimeout}
	if c.Config != "" {
		fromFile, err := readSettings(c.Config)
		if err != nil {
			return merged, err
		}
		merged = merged.overriddenBy(fromFile)
	}
	merged = merged.overriddenBy(Settings{Servers: c.Server, Token: c.Token, Output: c.Output, Timeout: c.Timeout})
	return merged, merged.validate()
}

func (s Settings) overriddenBy(overrides Settings) Settings {
	if len(overrides.Servers) > 0 {
		s.Servers = overrides.Servers
	}
	if overrides.Token != "" {
		s.Token = overrides.Token
	}
	if overrides.Output != "" {
		s.Output = overrides.Output
	}
	if overrides.Timeout != 0 {
		s.Timeout = overrides.Timeout
	}
	return s
}

func (s Settings) validate() error {
	switch {
	case s.Output != outputTable && s.Output != outputJSON:
		return &UsageError{Detail: "--output " + errOutput.Error()}
	case s.Timeout <= 0 || s.Timeout > maxTimeout:
		return &UsageError{Detail: "--timeout " + errTimeout.Error()}
	case len(s.Servers) == 0:
		return &UsageError{Detail: "no server: give --server, SNIPESTEP_SERVERS or a settings file"}
	case s.Token == "":
		return &UsageError{Detail: "no token: give --token, SNIPESTEP_TOKEN or a settings file"}
	}
	return nil
}
