package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// root is the folder of the repository.
var root string

// settings is the settings object of a small deployment, with the figures of riga-ride-desks.
const settings = `{"callers":{"marks_retry":true},"discovery":"automatic","family":"trunks",
"family_info":{"advice":true,"class_cells":[],"class_width":[1,1,1],"far_state":"piggyback","holding":[11400,6900,13700],"release_guard":300,"retransmit":0,"retry_hint":true,"self_no":0,"shape":"mesh"},
"grades":[{"name":"ride-status","aim":1200,"deadline":9000,"worth":1,"late_worth":0.1,"effect":"repeatable"},
{"name":"dialysis-pickup","aim":1200,"deadline":6000,"worth":5,"late_worth":0.25,"effect":"repeatable"},
{"name":"ride-slot","aim":1500,"deadline":9000,"worth":2,"late_worth":0.25,"effect":"repeatable"}],
"load_report":{"names":["free","size","hold_back","avg_ms"],"source":"piggyback"},"me":0,
"policy_limits":{"cancel":true,"conn_idle":600000,"dial_timeout":500,"max_attempts":4,"max_open":20000,"max_retry_after":2000,"probes":false,"retry_after":true,"second_copies":false,"streams_per_conn":1048576},
"replicas_of_me":5,"rules":{"answer_slack":20,"ask_within":10000,"cold_from":0.28,"ramp_time":14000,"stop_sending_within":250,"tip_after":1500,"tip_multiple":3},
"zones":["riga","valmiera","jelgava"]}`

func main() {
	if len(os.Args) < 4 {
		fmt.Println("usage: standin CASE ROOT FOLDER [KEY=VALUE...]")
		os.Exit(2)
	}
	root = os.Args[2]
	folder := os.Args[3]
	f, err := os.Create(folder + "/record.txt")
	if err != nil {
		cannotRun("%v", err)
	}
	rec := &record{f: f, start: time.Now()}
	rec.add("start: %s", time.Now().UTC().Format(time.RFC3339))
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	opts := map[string]string{}
	for _, a := range os.Args[4:] {
		k, v, _ := strings.Cut(a, "=")
		opts[k] = v
	}
	time.AfterFunc(115*time.Second, func() { cannotRun("it takes too long") })
	code := cases[os.Args[1]](rec, tmp, os.Getenv("TROUBLE") != "0", opts)
	rec.add("end: exit code %d", code)
	endAll()
	f.Close()
	os.RemoveAll(tmp)
	os.Exit(code)
}

var cases = map[string]func(rec *record, dir string, trouble bool, opts map[string]string) int{
	"memory":    memory,
	"unknown":   unknown,
	"quiet":     quiet,
	"announced": announced,
}
