package day

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"indigodrift/internal/audit"
	"indigodrift/internal/standin"
)

// Row counts callers by the outcome of their calls. All attempts of a caller count as one call.
type Row struct {
	Name                          string  `json:"name"`
	Offered                       int     `json:"offered"`
	Established                   int     `json:"stood"` // within the GoS target and not disconnected
	Late                          int     `json:"late"`
	Refused                       int     `json:"refused"`
	Failed                        int     `json:"failed"`
	Disconnected                  int     `json:"cut"`
	Service                       float64 `json:"service"` // revenue of the established calls relative to that of the offered calls
	revenueEarned, revenueOffered float64
}

func (r *Row) add(caller *standin.Caller, revenue float64, gosTarget time.Duration) {
	r.Offered++
	r.revenueOffered += revenue
	switch {
	case caller.EstablishedAt > 0 && caller.Disconnected:
		r.Disconnected++
	case caller.EstablishedAt > 0 && caller.EstablishedAt-caller.StartTime <= gosTarget:
		r.Established++
		r.revenueEarned += revenue
	case caller.EstablishedAt > 0:
		r.Late++
	case caller.Refused > 0:
		r.Refused++
	default:
		r.Failed++
	}
	r.Service = r.revenueEarned / r.revenueOffered
}

// Report holds the results of a day.
type Report struct {
	Total              Row
	Bearers            []Row
	Windows            []Row // of reportWindow each
	Tries              int
	Disconnections     int // established calls that the network ended
	Phones             PhoneRow
	Violations         []audit.Violation
	CPU                time.Duration // of all controllers
	MaxMemory          int64         // maximum of one controller, in kilobytes
	TableVersions      int           // versions of the number table used by route tries
	MixedCalls         int           // calls routed by two versions, or not as their version says
	PortabilityQueries int
	MaxDialDelay       time.Duration // longest delay of a subscriber's dial after its planned time
}

// reportWindow is the length of a row of the report.
const reportWindow = 10 * time.Second

// countCallers returns a report with the outcomes of the callers.
func countCallers(script Script, callers []*standin.Caller) Report {
	report := Report{Total: Row{Name: "all"}}
	for _, bearer := range script.Bearers {
		report.Bearers = append(report.Bearers, Row{Name: bearer.Name})
	}
	for at := time.Duration(0); at < script.Duration; at += reportWindow {
		report.Windows = append(report.Windows, Row{Name: fmt.Sprintf("%.0f s", at.Seconds())})
	}
	for _, caller := range callers {
		revenue, gosTarget := script.Deployment.Bearers[caller.Bearer].Revenue, script.Subscribers.GoSTargets[caller.Bearer]
		report.Disconnections += caller.Disconnections
		report.Total.add(caller, revenue, gosTarget)
		report.Bearers[caller.Bearer].add(caller, revenue, gosTarget)
		report.Windows[min(int(caller.StartTime/reportWindow), len(report.Windows)-1)].add(caller, revenue, gosTarget)
	}
	return report
}

// Print writes the tables and a final line of JSON, or only that line.
func (r Report) Print(w io.Writer, onlyJSON bool) error {
	if !onlyJSON {
		table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "\toffered\tstood\tlate\trefused\tfailed\tcut\tservice\t")
		for _, rows := range [][]Row{r.Windows, r.Bearers, {r.Total}} {
			for _, row := range rows {
				fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", row.Name, row.Offered, row.Established, row.Late, row.Refused, row.Failed, row.Disconnected, row.Service)
			}
			fmt.Fprintln(table, "\t\t\t\t\t\t\t\t")
		}
		if err := table.Flush(); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		offered := max(1, r.Total.Offered)
		fmt.Fprintf(w, "%.2f route tries per call; controllers used %.2f ms of processor time per call and at most %d MiB each\n",
			float64(r.Tries)/float64(offered), r.CPU.Seconds()*1000/float64(offered), r.MaxMemory/1024)
		if r.MaxDialDelay > 20*time.Millisecond {
			fmt.Fprintf(w, "the subscribers dialled up to %v late: this machine is too slow for the day\n", r.MaxDialDelay)
		}
		if r.PortabilityQueries > 0 {
			fmt.Fprintf(w, "portability: %.2f queries per call\n", float64(r.PortabilityQueries)/float64(offered))
		}
		if phones := r.Phones; phones.Calls > 0 {
			fmt.Fprintf(w, "phones at gateways: %d numbers dialled, %d calls established (median %v, 99th percentile %v), %d refused, %d failed, %d abandoned, %d not dialled\n",
				phones.Calls, phones.Established, phones.MedianSetUpTime.Round(time.Millisecond/10), phones.P99SetUpTime.Round(time.Millisecond/10), phones.Refused, phones.Failed, phones.Abandoned, phones.Skipped)
		}
		if r.TableVersions > 0 {
			fmt.Fprintf(w, "tables: route tries used %d versions, %d calls mixed versions\n", r.TableVersions, r.MixedCalls)
		}
		if len(r.Violations) == 0 {
			fmt.Fprintln(w, "rules: none broken")
		}
		for i, violation := range r.Violations {
			if i == 20 {
				fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
				break
			}
			fmt.Fprintf(w, "rule %d broken at %.3f s: %s\n", violation.Rule, float64(violation.At)/1e6, violation.Text)
		}
	}
	line, err := json.Marshal(map[string]any{"offered": r.Total.Offered, "stood": r.Total.Established, "late": r.Total.Late, "refused": r.Total.Refused,
		"failed": r.Total.Failed, "cut": r.Total.Disconnected, "cuts": r.Disconnections, "broken": len(r.Violations), "mixed": r.MixedCalls, "service": round(r.Total.Service),
		"phones": r.Phones, "tries": r.Tries, "cpu_ms": r.CPU.Milliseconds(), "dial_late_ms": r.MaxDialDelay.Milliseconds()})
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	_, err = fmt.Fprintln(w, string(line))
	return err
}

// round rounds to four decimals.
func round(f float64) float64 { return float64(int(f*10000+0.5)) / 10000 }
