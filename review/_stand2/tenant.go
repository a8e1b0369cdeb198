package main

import (
	"fmt"
	"strings"
	"time"
)

// playTenant has no case: two tenants submit jobs, some items of which have a part that makes the runner break off its
// answer, as a crash would. It judges the tenant that each run names.
func playTenant(l *lab, trouble bool) {
	l.setUp(func(r *runner) { r.breaksOn = "deadpart" })
	time.Sleep(settleTime)
	owner := map[string]string{}
	for j := range 20 {
		k, name := key, tenant
		if j%2 == 1 {
			k, name = otherKey, "south"
		}
		var list []item
		for n := range 10 {
			i := l.item(fmt.Sprintf("e5b2907c14%02d%04d", j, n))
			if trouble && n == 3 {
				i.Headers["Prompt-Prefix"] = "deadpart:100," + i.ID + ":100"
			}
			owner[i.ID] = name
			list = append(list, i)
		}
		l.submit(k, fmt.Sprintf("5d07b81c9e41a3%02d", j), list, 6)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	wrong, broken2 := 0, 0
	for _, r := range l.ranAll() {
		if owner[r.id] != r.tenant {
			wrong++
		}
		if strings.HasSuffix(r.id, "0003") {
			broken2++
		}
	}
	if wrong > 0 {
		exitWith(l, broken, fmt.Sprintf("UNASKED: %d runs name another tenant", wrong))
	}
	exitWith(l, held, fmt.Sprintf("%d runs, %d of items with the part, all name the tenant of their job", len(l.ranAll()), broken2))
}
