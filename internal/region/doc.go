// Package region applies one configuration change to several regions.
//
// Each region is an independent system with its own control quorum, so that it
// keeps running while regions are partitioned. A change is therefore accepted
// region by region, not atomically in all of them. The operator's client stores
// the progress in a file and can be rerun at any time: a repeated plan or
// decision returns the first outcome in each region.
//
// The contract of a change:
//
//   - The step of an unreachable region stays as it was and delays no other
//     region.
//   - Regions are confirmed in the order of the regions file. The first refusal
//     stops the change, so that a bad change does not reach the remaining regions.
//   - A lost answer leaves a step as it was; deciding again returns the outcome.
package region
