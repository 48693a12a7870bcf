// Review-cases plays the cases of the second independent review. It starts the programs of the deploy file on loopback
// addresses, with stand-ins for clients, servers, another writer and the operator.
//
//	review-cases CASE FOLDER
//
// It writes FOLDER/record.txt, and ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(*run) ([]string, error){
	"late":    playLate,
	"large":   playLarge,
	"report":  playReport,
	"foreign": playForeign,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		return 2
	}
	rec := newRecord()
	r, err := newRun(os.Getenv("TROUBLE") != "0", rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	verdict := broken
	if len(broken) == 0 {
		verdict = []string{"the rule held"}
	}
	if err := rec.write(filepath.Join(os.Args[2], "record.txt"), verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range verdict {
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
