// Package region carries one change of configuration into several regions.
//
// Each region is a system of its own, with its own control quorum, so that it
// goes on while regions are apart. A change is therefore accepted region by
// region: there is no moment at which all regions accept it together. The
// operator's client keeps the progress in a file and can be run again at any
// time: planning again and deciding again give the first outcome in each region.
//
// The contract of a change:
//
//   - A region that can't be reached keeps its part pending and holds up no
//     other region.
//   - Regions are confirmed in the order of the regions file. The first one that
//     refuses stops the change, so that a bad change does not reach the rest.
//   - A lost answer leaves a part as it was; deciding again tells the outcome.
package region
