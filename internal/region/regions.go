package region

import (
	"encoding/json"
	"os"

	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

// maxRegions bounds the regions of one file.
const maxRegions = 64

// Name names a region.
type Name string

// Region is one system with its own control quorum.
type Region struct {
	Name Name `json:"name" validate:"required,max=64"`
	// Entries are caller addresses "ip:port" of its daemons, tried in turn.
	Entries []string `json:"entries" validate:"min=1,max=512,dive,hostname_port"`
}

// Regions lists the regions in the order in which they are confirmed.
type Regions struct {
	Regions []Region `json:"regions" validate:"min=1,dive"`
}

// ReadRegions reads and checks a regions file. It fails with errs.Invalid, which
// lists every fault.
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

func (r Regions) has(name Name) bool {
	for _, region := range r.Regions {
		if region.Name == name {
			return true
		}
	}
	return false
}

var checker = faults.NewChecker("json")

// readJSON decodes a file and refuses fields that it does not know.
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
