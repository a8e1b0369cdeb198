package policybench

import "io"

// Run measures everything and prints a line for each figure. It takes about
// half a minute of a core.
func Run(w io.Writer) {
	for _, u := range users() {
		for _, m := range append(measureRates(u), measureServing(u)...) {
			m.print(w)
		}
	}
	for _, m := range append(measureLimiterCost(), measureRouterCost()) {
		m.print(w)
	}
}
