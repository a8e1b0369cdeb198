// Package pace estimates how long work takes at each target, in percent of the usual time.
//
// It handles targets whose speed differs and changes while they serve. A target reports its pace
// with its answers. Between reports, the pace is derived from the times that instances observe:
// until the first event of a stream, and between two events.
//
// Decisions are pure: the time, the reports and the observed times are arguments.
package pace
