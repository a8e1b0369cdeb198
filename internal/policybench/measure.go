package policybench

import (
	"fmt"
	"io"
	"strconv"
)

// measure is one line of the report.
type measure struct {
	name, unit    string
	baseline, now float64
	// oracle is what a policy that sees all could reach; hasOracle says that it
	// was computed.
	oracle    float64
	hasOracle bool
	user      string
}

func (m measure) print(w io.Writer) {
	fmt.Fprintf(w, "measure name=%s unit=%s baseline=%s now=%s", m.name, m.unit, figure(m.baseline), figure(m.now))
	if m.hasOracle {
		fmt.Fprintf(w, " oracle=%s", figure(m.oracle))
	}
	if m.user != "" {
		fmt.Fprintf(w, " user=%s", m.user)
	}
	fmt.Fprintln(w)
}

func figure(x float64) string { return strconv.FormatFloat(x, 'g', 5, 64) }
