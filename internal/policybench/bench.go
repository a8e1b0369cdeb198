package policybench

import "io"

// Run measures everything and prints a line for each figure.
func Run(w io.Writer) {
	for _, u := range users() {
		rates, _ := measureRates(u)
		for _, m := range append(rates, measureServing(u)...) {
			m.print(w)
		}
	}
}
