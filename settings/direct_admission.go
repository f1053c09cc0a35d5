package settings

// DirectAdmission configures how an entry of snipestep-direct chooses endpoints.
type DirectAdmission struct {
	// UseSlowdown says that the choice uses how slow endpoints say they are.
	UseSlowdown bool
}

func admissionSection(a *DirectAdmission) Section {
	return Section{Name: "admission", Doc: "For entries: how they choose endpoints.", Keys: []Key{
		{Name: "use_slowdown", Default: "false", Value: emptyAsDefault{Bool(&a.UseSlowdown), "false"}, Doc: "Whether the expected delay at an endpoint counts how slow it says it is now. Otherwise an engine whose agent reports it as slow is the last choice."},
	}}
}
