package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: review2 CASE REPOSITORY RECORD")
		os.Exit(couldNot)
	}
	play, ok := map[string]func(*lab, bool){"bytes": playBytes, "heads": playHeads, "sameid": playSameID, "unread": playUnread, "path": playPath, "full": playFull, "many": playMany, "tenant": playTenant}[os.Args[1]]
	if !ok {
		fmt.Println("unknown case")
		os.Exit(couldNot)
	}
	l, err := newLab(os.Args[2], os.Args[3], 3, 1)
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, trouble %v", os.Args[1], trouble)
	play(l, trouble)
}

// set up starts runners and machines.
func (l *lab) setUp(change func(*runner)) {
	l.putConfig(1)
	for n := range 3 {
		if _, err := l.startRunner(fmt.Sprintf("z%d", n), change); err != nil {
			exitWith(l, couldNot, err.Error())
		}
	}
	if err := l.startMachines(); err != nil {
		exitWith(l, couldNot, err.Error())
	}
}
