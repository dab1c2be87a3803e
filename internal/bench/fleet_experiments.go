package bench

// FleetExperiments returns the experiments on groups of hosts, on logical time.
func FleetExperiments() []Experiment {
	return []Experiment{MemberLoss(), MemberLossTight(), FabricLoss(), FabricLossTight(), DomainWeights(), DomainReturn(), PauseGrace()}
}
