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

// Row counts callers and what came of their calls, all dials of a caller together.
type Row struct {
	Name          string  `json:"name"`
	Offered       int     `json:"offered"`
	Stood         int     `json:"stood"` // within the GoS target, and not cut
	Late          int     `json:"late"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	Cut           int     `json:"cut"`
	Service       float64 `json:"service"` // revenue of those that stood, over that offered
	earned, asked float64
}

func (w *Row) add(c *standin.Caller, revenue float64, within time.Duration) {
	w.Offered++
	w.asked += revenue
	switch {
	case c.Stood > 0 && c.Cut:
		w.Cut++
	case c.Stood > 0 && c.Stood-c.At <= within:
		w.Stood++
		w.earned += revenue
	case c.Stood > 0:
		w.Late++
	case c.Refused > 0:
		w.Refused++
	default:
		w.Failed++
	}
	w.Service = w.earned / w.asked
}

// Report is what a day came to.
type Report struct {
	All      Row
	Bearers  []Row
	Windows  []Row // of 10 s
	Tries    int
	Cuts     int // standing calls that the network ended
	Phones   PhoneRow
	Breaches []audit.Breach
	CPU      time.Duration // all controllers together
	Memory   int64         // the most that one held, kilobytes
	Versions int           // of tables, that tries were seen to go by
	Mixed    int           // calls that went by two of them, or otherwise than theirs says
	Asked    int           // portability queries
	DialLate time.Duration // the worst that the subscribers were behind their own schedule
}

const window = 10 * time.Second

func count(s Script, callers []*standin.Caller) Report {
	rep := Report{All: Row{Name: "all"}}
	for _, b := range s.Bearers {
		rep.Bearers = append(rep.Bearers, Row{Name: b.Name})
	}
	for at := time.Duration(0); at < s.Length; at += window {
		rep.Windows = append(rep.Windows, Row{Name: fmt.Sprintf("%.0f s", at.Seconds())})
	}
	for _, c := range callers {
		revenue, within := s.Deployment.Bearers[c.Bearer].Revenue, s.Habits.GoS[c.Bearer]
		rep.Cuts += c.Cuts
		rep.All.add(c, revenue, within)
		rep.Bearers[c.Bearer].add(c, revenue, within)
		rep.Windows[min(int(c.At/window), len(rep.Windows)-1)].add(c, revenue, within)
	}
	return rep
}

// Print writes the tables and, last, one line of JSON.
func (r Report) Print(w io.Writer, onlyJSON bool) error {
	if !onlyJSON {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "\toffered\tstood\tlate\trefused\tfailed\tcut\tservice\t")
		for _, rows := range [][]Row{r.Windows, r.Bearers, {r.All}} {
			for _, x := range rows {
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", x.Name, x.Offered, x.Stood, x.Late, x.Refused, x.Failed, x.Cut, x.Service)
			}
			fmt.Fprintln(t, "\t\t\t\t\t\t\t\t")
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		offered := max(1, r.All.Offered)
		fmt.Fprintf(w, "%.2f route tries a call; controllers took %.2f ms of processor a call and %d MiB at most each\n",
			float64(r.Tries)/float64(offered), r.CPU.Seconds()*1000/float64(offered), r.Memory/1024)
		if r.DialLate > 20*time.Millisecond {
			fmt.Fprintf(w, "the subscribers dialled up to %v behind their schedule: this machine is too small for the day\n", r.DialLate)
		}
		if r.Asked > 0 {
			fmt.Fprintf(w, "portability: %.2f queries a call\n", float64(r.Asked)/float64(offered))
		}
		if p := r.Phones; p.Calls > 0 {
			fmt.Fprintf(w, "phones at gateways: %d numbers dialled, %d calls stood (half within %v, 99 of 100 within %v), %d refused, %d failed, %d callers left, %d not dialled\n",
				p.Calls, p.Stood, p.Median.Round(time.Millisecond/10), p.Most.Round(time.Millisecond/10), p.Refused, p.Failed, p.Left, p.Skipped)
		}
		if r.Versions > 0 {
			fmt.Fprintf(w, "tables: tries went by %d versions, %d calls by two at once\n", r.Versions, r.Mixed)
		}
		if len(r.Breaches) == 0 {
			fmt.Fprintln(w, "rules: none broken")
		}
		for i, b := range r.Breaches {
			if i == 20 {
				fmt.Fprintf(w, "and %d more\n", len(r.Breaches)-i)
				break
			}
			fmt.Fprintf(w, "rule %d broken at %.3f s: %s\n", b.Rule, float64(b.At)/1e6, b.Text)
		}
	}
	line, err := json.Marshal(map[string]any{"offered": r.All.Offered, "stood": r.All.Stood, "late": r.All.Late, "refused": r.All.Refused,
		"failed": r.All.Failed, "cut": r.All.Cut, "cuts": r.Cuts, "broken": len(r.Breaches), "mixed": r.Mixed, "service": round(r.All.Service),
		"phones": r.Phones, "tries": r.Tries, "cpu_ms": r.CPU.Milliseconds(), "dial_late_ms": r.DialLate.Milliseconds()})
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	_, err = fmt.Fprintln(w, string(line))
	return err
}

func round(f float64) float64 { return float64(int(f*10000+0.5)) / 10000 }
