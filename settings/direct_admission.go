package settings

// DirectAdmission configures how an entry of snipestep-direct chooses endpoints.
type DirectAdmission struct {
	// UseSlowdown says that the choice uses how slow endpoints say they are.
	UseSlowdown bool
	// ColdExcess and ColdExtra bound the requests to a cold endpoint from all entries
	// together: within any one second ColdExcess times the rate that its service names,
	// plus ColdExtra.
	ColdExcess float64
	ColdExtra  float64
}

func admissionSection(a *DirectAdmission) Section {
	return Section{Name: "admission", Doc: "For entries: how they choose endpoints.", Keys: []Key{
		{Name: "use_slowdown", Default: "false", Value: emptyAsDefault{Bool(&a.UseSlowdown), "false"}, Doc: "Whether the expected delay at an endpoint counts how slow it says it is now. Otherwise an engine whose agent reports it as slow is the last choice."},
		{Name: "cold_excess", Default: "1", Value: emptyAsDefault{Float(&a.ColdExcess, 0, maxColdExcess), "1"}, Doc: "A cold endpoint gets at most this times the rate that its service names, plus `cold_extra` requests, within any one second from all entries together. Without effect on services that name none."},
		{Name: "cold_extra", Default: "0", Value: emptyAsDefault{Float(&a.ColdExtra, 0, maxColdExtra), "0"}, Doc: "See `cold_excess`."},
	}}
}
