package day

import (
	"fmt"
	"path/filepath"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"

	"indigodrift/policy"
)

// siteFile returns the settings file of one exchange.
func (r *runner) siteFile(e int) []byte {
	f := hclwrite.NewEmptyFile()
	b := f.Body()
	text := func(b *hclwrite.Body, name, v string) { b.SetAttributeValue(name, cty.StringVal(v)) }
	whole := func(b *hclwrite.Body, name string, v int) { b.SetAttributeValue(name, cty.NumberIntVal(int64(v))) }
	number := func(b *hclwrite.Body, name string, v float64) { b.SetAttributeValue(name, cty.NumberFloatVal(v)) }
	during := func(b *hclwrite.Body, name string, v policy.Tenths) { text(b, name, duration(v).String()) }
	d := r.script.Deployment
	whole(b, "exchange", e)
	whole(b, "exchanges", r.script.ExchangeCount)
	whole(b, "seed", int(r.script.Seed)*1000+e)
	text(b, "own_switch", r.switchAddresses[e])
	text(b, "register", r.registerAddress)
	whole(b, "tries", d.MaxTries)
	during(b, "release_time", d.ReleaseTime)
	during(b, "come_back_most", d.MaxRetryAfter)
	during(b, "drain_grace", d.DrainGrace)
	b.SetAttributeValue("cancels", cty.BoolVal(d.CancelsAllowed))
	if r.script.UseLedger {
		text(b, "ledger", filepath.Join(r.dir, fmt.Sprintf("ledger-%d", e)))
	}
	if r.script.UseTables {
		text(b, "control", r.controlAddresses[e])
		n := b.AppendNewBlock("numbers", nil).Body()
		text(n, "store", filepath.Join(r.dir, fmt.Sprintf("tables-%d", e)))
		text(n, "table", r.tableFile(1))
		if r.portability != nil {
			p := n.AppendNewBlock("portability", nil).Body()
			p.SetAttributeValue("servers", cty.ListVal([]cty.Value{cty.StringVal(r.portability.Address), cty.StringVal(r.portability.Address)}))
			text(p, "zone", enumZone)
		}
	}
	r.writeGateways(e, b)
	cold := b.AppendNewBlock("cold", nil).Body()
	number(cold, "from", d.InitialCapacity)
	during(cold, "ramp", d.RampTime)
	number(cold, "fall_multiple", d.OverloadMultiple)
	during(cold, "fall_window", d.OverloadWindow)
	for i, t := range d.Bearers {
		n := b.AppendNewBlock("bearer", []string{r.script.Bearers[i].Name}).Body()
		number(n, "revenue", t.Revenue)
		number(n, "late_share", t.LateShare)
		during(n, "gos_target", t.GoSTarget)
		during(n, "abandon", t.AbandonTime)
	}
	for j, address := range r.switchAddresses {
		if j != e {
			n := b.AppendNewBlock("neighbour", []string{fmt.Sprintf("exchange-%d", j)}).Body()
			whole(n, "exchange", j)
			whole(n, "circuits", r.plan.circuits[e][j])
			text(n, "address", address)
		}
	}
	return f.Bytes()
}
