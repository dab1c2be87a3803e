package api

import "strings"

// GroupPhase is the lifecycle phase of one replica.
type GroupPhase string

// Phases of a group. Only a ready group serves.
const (
	GroupLoading   GroupPhase = "loading"
	GroupReady     GroupPhase = "ready"
	GroupBroken    GroupPhase = "broken"
	GroupReleasing GroupPhase = "releasing"
)

// Group is one replica: hosts of one fabric domain that serve as a unit. Fencing
// identifies the generation of its membership.
type Group struct {
	ID           GroupID          `json:"id"`
	ServingGroup ServingGroupName `json:"serving_group"`
	Model        string           `json:"model"`
	Fabric       FabricDomain     `json:"fabric"`
	Domain       FailureDomain    `json:"domain"`
	// Members are the hosts by rank; rank 0 receives the requests.
	Members []HostID   `json:"members"`
	Fencing Fencing    `json:"fencing"`
	Phase   GroupPhase `json:"phase"`
	// Address is the "ip:port" that rank 0 announced.
	Address string `json:"address"`
	// Warm is false while rank 0 reports a cold start.
	Warm bool `json:"warm"`
	// BearableLoad is the present capacity in concurrent requests that rank 0
	// announced; 0 if unknown.
	BearableLoad int `json:"bearable_load"`
	// WarmLoad is the warm capacity in concurrent requests; 0 if unknown.
	WarmLoad int `json:"warm_load"`
	// Leaving is set when a member announced that it leaves, or when the replica
	// retires: it completes its requests and receives no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// Retiring is set once other replicas need the hosts more.
	Retiring bool `json:"retiring,omitempty"`
	// Service is the engine service of a shared serving group, empty otherwise.
	Service string `json:"service,omitempty"`
	// Previous is the fencing number that the members of a releasing group hold.
	Previous Fencing `json:"previous,omitempty"`
	// Open is set once the head serves, at engines that wait for an open order.
	Open bool `json:"open,omitempty"`
	// HeadIncarnation is the incarnation of rank 0 in its last announcement of the
	// membership.
	HeadIncarnation Incarnation `json:"head_incarnation,omitempty"`
	// Release is the software version of rank 0.
	Release      string       `json:"release,omitempty"`
	Capabilities Capabilities `json:"capabilities"`
}

// Assignment binds a host to a group. A host without one is free.
type Assignment struct {
	Host    HostID  `json:"host"`
	Group   GroupID `json:"group"`
	Fencing Fencing `json:"fencing"`
	// Releasing is set until the end of the membership is proven.
	Releasing bool `json:"releasing,omitempty"`
}

// EntryInfo describes one entry daemon.
type EntryInfo struct {
	ID          EntryID       `json:"id"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      FailureDomain `json:"domain"`
	// CallerAddress and PeerAddress are "ip:port".
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// ForwardAddress is the "ip:port" for requests that other entries forward, empty if it
	// takes none.
	ForwardAddress string `json:"forward_address,omitempty"`
	// Live is false once the work lease has expired.
	Live bool `json:"live"`
	// Leaving is set during a graceful shutdown: no new work, no shards.
	Leaving bool `json:"leaving,omitempty"`
	// Finished is set once the entry released its work lease with no grant in use.
	Finished bool `json:"finished,omitempty"`
}

// ShardLease names the entry that owns a shard. Epoch never decreases.
type ShardLease struct {
	Shard ShardID  `json:"shard"`
	Owner EntryID  `json:"owner"`
	Epoch Revision `json:"epoch"`
}

// ServiceServer is one live backend server of a plain service. A server that
// announces BearableLoad or WarmLoad receives only requests with a grant, as a
// replica of one host.
type ServiceServer struct {
	Host    HostID        `json:"host"`
	Service string        `json:"service"`
	Domain  FailureDomain `json:"domain"`
	Address string        `json:"address"`
	Leaving bool          `json:"leaving,omitempty"`
	// Incarnation and Warm are set only if the server announces BearableLoad,
	// WarmLoad or Slots. The loads are in concurrent calls.
	Incarnation  Incarnation `json:"incarnation,omitempty"`
	Warm         bool        `json:"warm,omitempty"`
	BearableLoad int         `json:"bearable_load,omitempty"`
	WarmLoad     int         `json:"warm_load,omitempty"`
	// Slots is the number of calls that the server runs concurrently; 0 if unknown.
	Slots int `json:"slots,omitempty"`
}

// ServicePrefix is the prefix of the shard names of plain services. No serving
// group may have such a name.
const ServicePrefix = "service/"

// ServiceShards returns the name of the shards of a plain service.
func ServiceShards(service string) ServingGroupName {
	return ServingGroupName(ServicePrefix + service)
}

// IsService reports whether n names the shards of a plain service.
func (n ServingGroupName) IsService() bool { return strings.HasPrefix(string(n), ServicePrefix) }

// Limited reports whether the server announces BearableLoad or WarmLoad.
func (s ServiceServer) Limited() bool { return s.BearableLoad > 0 || s.WarmLoad > 0 }

// Replica returns a limited server as a replica of one host. Its incarnation
// is its generation.
func (s ServiceServer) Replica() Group {
	name := ServiceShards(s.Service)
	return Group{
		ID:           GroupID(string(name) + "/" + string(s.Host)),
		ServingGroup: name,
		Domain:       s.Domain,
		Members:      []HostID{s.Host},
		Fencing:      Fencing(s.Incarnation),
		Phase:        GroupReady,
		Address:      s.Address,
		Warm:         s.Warm,
		BearableLoad: s.BearableLoad,
		WarmLoad:     s.WarmLoad,
		Leaving:      s.Leaving,
	}
}

// Quarantine refuses requests that crash the servers that run them.
type Quarantine struct {
	Fingerprint string `json:"fingerprint"`
	Deaths      int    `json:"deaths"`
	// UntilUnixMillis is 0 for a suspect that is not yet quarantined.
	UntilUnixMillis int64 `json:"until_unix_millis,omitempty"`
	// Keys are set for a quarantine of all requests that have every one of them. It ends
	// with a trial, not at a time.
	Keys []string `json:"keys,omitempty"`
}

// View is the replicated state that an entry applies.
type View struct {
	Revision Revision `json:"revision"`
	// LeaseMillis is the longest work lease that an entry may hold; 0 selects that
	// of the settings. Each update carries it.
	LeaseMillis   int64           `json:"lease_millis,omitempty"`
	ServingGroups []ServingGroup  `json:"serving_groups,omitempty"`
	Accounts      []Account       `json:"accounts,omitempty"`
	Domains       []Domain        `json:"domains,omitempty"`
	Services      []Service       `json:"services,omitempty"`
	Groups        []Group         `json:"groups,omitempty"`
	Entries       []EntryInfo     `json:"entries,omitempty"`
	Shards        []ShardLease    `json:"shards,omitempty"`
	Servers       []ServiceServer `json:"servers,omitempty"`
	Quarantines   []Quarantine    `json:"quarantines,omitempty"`
	// Publication is the routing configuration in force, nil if there is none yet.
	Publication *PackedPublication `json:"packed_publication,omitempty"`
	Departures  []Departure        `json:"departures,omitempty"`
}

// ViewUpdate brings a view from revision From to To. With Full set it replaces
// the view; otherwise the listed items are upserted and Removed is deleted.
type ViewUpdate struct {
	From    Revision    `json:"from"`
	To      Revision    `json:"to"`
	Full    bool        `json:"full,omitempty"`
	Upsert  View        `json:"upsert"`
	Removed ViewRemoval `json:"removed,omitzero"`
}

// ViewRemoval lists the keys that an update deletes.
type ViewRemoval struct {
	ServingGroups []ServingGroupName `json:"serving_groups,omitempty"`
	Accounts      []AccountID        `json:"accounts,omitempty"`
	Domains       []FailureDomain    `json:"domains,omitempty"`
	Services      []string           `json:"services,omitempty"`
	Groups        []GroupID          `json:"groups,omitempty"`
	Entries       []EntryID          `json:"entries,omitempty"`
	Shards        []ShardID          `json:"shards,omitempty"`
	Servers       []HostID           `json:"servers,omitempty"`
	Quarantines   []string           `json:"quarantines,omitempty"`
	Departures    []HostID           `json:"departures,omitempty"`
}
