package day

import (
	"fmt"
	"path/filepath"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"

	"indigodrift/policy"
)

// siteFile returns the settings file of one exchange.
func (r *runner) siteFile(exchange int) []byte {
	file := hclwrite.NewEmptyFile()
	b := file.Body()
	setText := func(b *hclwrite.Body, name, value string) { b.SetAttributeValue(name, cty.StringVal(value)) }
	setInt := func(b *hclwrite.Body, name string, value int) {
		b.SetAttributeValue(name, cty.NumberIntVal(int64(value)))
	}
	setFloat := func(b *hclwrite.Body, name string, value float64) {
		b.SetAttributeValue(name, cty.NumberFloatVal(value))
	}
	setDuration := func(b *hclwrite.Body, name string, value policy.Tenths) { setText(b, name, duration(value).String()) }
	deployment := r.script.Deployment
	setInt(b, "exchange", exchange)
	setInt(b, "exchanges", r.script.ExchangeCount)
	setInt(b, "seed", int(r.script.Seed)*1000+exchange)
	setText(b, "own_switch", r.switchAddresses[exchange])
	setText(b, "register", r.registerAddress)
	setInt(b, "tries", deployment.MaxTries)
	setDuration(b, "release_time", deployment.ReleaseTime)
	setDuration(b, "come_back_most", deployment.MaxRetryAfter)
	setDuration(b, "drain_grace", deployment.DrainGrace)
	b.SetAttributeValue("cancels", cty.BoolVal(deployment.CancelsAllowed))
	if r.script.UseLedger {
		setText(b, "ledger", filepath.Join(r.dir, fmt.Sprintf("ledger-%d", exchange)))
	}
	if r.script.UseTables {
		setText(b, "control", r.controlAddresses[exchange])
		block := b.AppendNewBlock("numbers", nil).Body()
		setText(block, "store", filepath.Join(r.dir, fmt.Sprintf("tables-%d", exchange)))
		setText(block, "table", r.tableFile(1))
		if r.portability != nil {
			portability := block.AppendNewBlock("portability", nil).Body()
			portability.SetAttributeValue("servers", cty.ListVal([]cty.Value{cty.StringVal(r.portability.Address), cty.StringVal(r.portability.Address)}))
			setText(portability, "zone", enumZone)
		}
	}
	r.writeGateways(exchange, b)
	cold := b.AppendNewBlock("cold", nil).Body()
	setFloat(cold, "from", deployment.InitialCapacity)
	setDuration(cold, "ramp", deployment.RampTime)
	setFloat(cold, "fall_multiple", deployment.OverloadMultiple)
	setDuration(cold, "fall_window", deployment.OverloadWindow)
	for i, bearer := range deployment.Bearers {
		block := b.AppendNewBlock("bearer", []string{r.script.Bearers[i].Name}).Body()
		setFloat(block, "revenue", bearer.Revenue)
		setFloat(block, "late_share", bearer.LateShare)
		setDuration(block, "gos_target", bearer.GoSTarget)
		setDuration(block, "abandon", bearer.AbandonTime)
	}
	for neighbour, address := range r.switchAddresses {
		if neighbour != exchange {
			block := b.AppendNewBlock("neighbour", []string{fmt.Sprintf("exchange-%d", neighbour)}).Body()
			setInt(block, "exchange", neighbour)
			setInt(block, "circuits", r.plan.circuits[exchange][neighbour])
			setText(block, "address", address)
		}
	}
	return file.Bytes()
}
