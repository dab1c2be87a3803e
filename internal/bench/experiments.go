package bench

// Experiments returns every experiment in the order of the help text.
func Experiments() []Experiment {
	return append(FleetExperiments(), []Experiment{
		configChange(),
		controlCost(),
		roleCost(),
		pathLatency(),
		relay(),
		priorityClaim(),
		coldStart(),
		domainCycle(),
		entryLoss(),
		ownerLoss(),
		partition(),
		atMostOnce(),
		poison(),
		overload(),
		overloadMixed(),
		prefix(),
	}...)
}

// Find returns the experiment with a name.
func Find(name string) (Experiment, bool) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}
