package policybench

import (
	"fmt"
	"io"
	"strconv"
)

// measure is one line of the report: a value of the current policy beside the
// value of a simpler baseline.
type measure struct {
	name, unit        string
	baseline, current float64
	// oracle is the value that a policy with full knowledge of the fleet could
	// reach. It is only printed if hasOracle is set.
	oracle     float64
	hasOracle  bool
	deployment string
}

func (m measure) print(w io.Writer) {
	fmt.Fprintf(w, "measure name=%s unit=%s baseline=%s now=%s", m.name, m.unit, formatFigure(m.baseline), formatFigure(m.current))
	if m.hasOracle {
		fmt.Fprintf(w, " oracle=%s", formatFigure(m.oracle))
	}
	if m.deployment != "" {
		fmt.Fprintf(w, " user=%s", m.deployment)
	}
	fmt.Fprintln(w)
}

func formatFigure(x float64) string { return strconv.FormatFloat(x, 'g', 5, 64) }
