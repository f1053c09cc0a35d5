package fakeserver

import "time"

// Config says what a Server serves.
type Config struct {
	// Dir receives the settings files and made weights; it must exist.
	Dir string
	// WeightsDir holds the files of version v1; empty for made weights.
	WeightsDir string
	Entries    int
	Models     int
	Plains     int
	// Slots are the calls that an endpoint runs at once.
	Slots int
	// Token is the time between two tokens of an engine.
	Token time.Duration
	// Load is the time that an engine takes to load a model.
	Load time.Duration
}

// The fixed names of a fleet of stand-ins.
const (
	// Model is published in Version1 and Version2.
	Model    = "letters"
	Version1 = "v1"
	Version2 = "v2"
	// Service has OperationPurchase, which may not be repeated, and
	// OperationBalance, which may.
	Service           = "counter"
	OperationPurchase = "purchase"
	OperationBalance  = "balance"
	// CallerToken and OperatorToken are bearer tokens.
	CallerToken   = "local-caller"
	OperatorToken = "local-operator"
	// ControlFile holds the settings of snipestepctl.
	ControlFile = "ctl.ini"
)
