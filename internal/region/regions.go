package region

import (
	"encoding/json"
	"os"

	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

// maxRegions is the maximum number of regions in one file.
const maxRegions = 64

// Name is the name of a region.
type Name string

// Region is one independent system with its own control quorum.
type Region struct {
	Name Name `json:"name" validate:"required,max=64"`
	// Entries are the caller addresses "ip:port" of its daemons, tried in order.
	Entries []string `json:"entries" validate:"min=1,max=512,dive,hostname_port"`
}

// Regions lists the regions in the order in which they are confirmed.
type Regions struct {
	Regions []Region `json:"regions" validate:"min=1,dive"`
}

// ReadRegions reads and validates a regions file. Its errs.Invalid error lists
// every fault.
func ReadRegions(file string) (Regions, error) {
	var out Regions
	if err := readJSON(file, &out); err != nil {
		return Regions{}, err
	}
	list := checker.Check(&out)
	if len(out.Regions) > maxRegions {
		list.Add("regions", len(out.Regions), "at most %d", maxRegions)
	}
	seen := make(map[Name]bool, len(out.Regions))
	for _, r := range out.Regions {
		if seen[r.Name] {
			list.Add("regions", string(r.Name), "without repeats")
		}
		seen[r.Name] = true
	}
	return out, list.Err("read regions "+file, "")
}

func (r Regions) contains(name Name) bool {
	for _, region := range r.Regions {
		if region.Name == name {
			return true
		}
	}
	return false
}

var checker = faults.NewChecker("json")

// readJSON decodes a JSON file and refuses unknown fields.
func readJSON(file string, v any) error {
	f, err := os.Open(file)
	if err != nil {
		return errs.Wrap(err, "open file", "")
	}
	defer func() { _ = f.Close() }()
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errs.New(errs.Invalid, "read "+file, "", "%v", err)
	}
	return nil
}
