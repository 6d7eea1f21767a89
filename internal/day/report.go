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

func (w *Row) add(c *standin.Caller, revenue float64, within time.Duration) {
	w.Offered++
	w.revenueOffered += revenue
	switch {
	case c.EstablishedAt > 0 && c.Disconnected:
		w.Disconnected++
	case c.EstablishedAt > 0 && c.EstablishedAt-c.StartTime <= within:
		w.Established++
		w.revenueEarned += revenue
	case c.EstablishedAt > 0:
		w.Late++
	case c.Refused > 0:
		w.Refused++
	default:
		w.Failed++
	}
	w.Service = w.revenueEarned / w.revenueOffered
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

const reportWindow = 10 * time.Second

func countCallers(s Script, callers []*standin.Caller) Report {
	rep := Report{Total: Row{Name: "all"}}
	for _, b := range s.Bearers {
		rep.Bearers = append(rep.Bearers, Row{Name: b.Name})
	}
	for at := time.Duration(0); at < s.Duration; at += reportWindow {
		rep.Windows = append(rep.Windows, Row{Name: fmt.Sprintf("%.0f s", at.Seconds())})
	}
	for _, c := range callers {
		revenue, within := s.Deployment.Bearers[c.Bearer].Revenue, s.Subscribers.GoSTargets[c.Bearer]
		rep.Disconnections += c.Disconnections
		rep.Total.add(c, revenue, within)
		rep.Bearers[c.Bearer].add(c, revenue, within)
		rep.Windows[min(int(c.StartTime/reportWindow), len(rep.Windows)-1)].add(c, revenue, within)
	}
	return rep
}

// Print writes the tables and a final line of JSON, or only that line.
func (r Report) Print(w io.Writer, onlyJSON bool) error {
	if !onlyJSON {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "\toffered\tstood\tlate\trefused\tfailed\tcut\tservice\t")
		for _, rows := range [][]Row{r.Windows, r.Bearers, {r.Total}} {
			for _, x := range rows {
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", x.Name, x.Offered, x.Established, x.Late, x.Refused, x.Failed, x.Disconnected, x.Service)
			}
			fmt.Fprintln(t, "\t\t\t\t\t\t\t\t")
		}
		if err := t.Flush(); err != nil {
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
		if p := r.Phones; p.Calls > 0 {
			fmt.Fprintf(w, "phones at gateways: %d numbers dialled, %d calls established (median %v, 99th percentile %v), %d refused, %d failed, %d abandoned, %d not dialled\n",
				p.Calls, p.Established, p.MedianSetUpTime.Round(time.Millisecond/10), p.P99SetUpTime.Round(time.Millisecond/10), p.Refused, p.Failed, p.Abandoned, p.Skipped)
		}
		if r.TableVersions > 0 {
			fmt.Fprintf(w, "tables: route tries used %d versions, %d calls mixed versions\n", r.TableVersions, r.MixedCalls)
		}
		if len(r.Violations) == 0 {
			fmt.Fprintln(w, "rules: none broken")
		}
		for i, b := range r.Violations {
			if i == 20 {
				fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
				break
			}
			fmt.Fprintf(w, "rule %d broken at %.3f s: %s\n", b.Rule, float64(b.At)/1e6, b.Text)
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

func round(f float64) float64 { return float64(int(f*10000+0.5)) / 10000 }
