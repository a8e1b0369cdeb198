package policybench

import "io"

// Run takes all measurements and writes one line for each. It uses one core for
// about 30 seconds.
func Run(w io.Writer) {
	for _, d := range deployments() {
		for _, m := range append(measureRates(d), measureServing(d)...) {
			m.print(w)
		}
	}
	for _, m := range append(measureLimiterCost(), measureRouterCost()) {
		m.print(w)
	}
}
