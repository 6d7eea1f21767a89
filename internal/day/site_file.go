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
	body := file.Body()
	setText := func(body *hclwrite.Body, name, value string) { body.SetAttributeValue(name, cty.StringVal(value)) }
	setInt := func(body *hclwrite.Body, name string, value int) {
		body.SetAttributeValue(name, cty.NumberIntVal(int64(value)))
	}
	setFloat := func(body *hclwrite.Body, name string, value float64) {
		body.SetAttributeValue(name, cty.NumberFloatVal(value))
	}
	setDuration := func(body *hclwrite.Body, name string, value policy.Tenths) {
		setText(body, name, duration(value).String())
	}
	deployment := r.script.Deployment
	setInt(body, "exchange", exchange)
	setInt(body, "exchanges", r.script.ExchangeCount)
	setInt(body, "seed", int(r.script.Seed)*1000+exchange)
	setText(body, "own_switch", r.switchAddresses[exchange])
	setText(body, "register", r.registerAddress)
	setInt(body, "tries", deployment.MaxTries)
	setDuration(body, "release_time", deployment.ReleaseTime)
	setDuration(body, "come_back_most", deployment.MaxRetryAfter)
	setDuration(body, "drain_grace", deployment.DrainGrace)
	body.SetAttributeValue("cancels", cty.BoolVal(deployment.CancelsAllowed))
	if r.script.UseLedger {
		setText(body, "ledger", filepath.Join(r.dir, fmt.Sprintf("ledger-%d", exchange)))
	}
	if r.script.UseTables {
		setText(body, "control", r.controlAddresses[exchange])
		block := body.AppendNewBlock("numbers", nil).Body()
		setText(block, "store", filepath.Join(r.dir, fmt.Sprintf("tables-%d", exchange)))
		setText(block, "table", r.tableFile(1))
		if r.portability != nil {
			portability := block.AppendNewBlock("portability", nil).Body()
			portability.SetAttributeValue("servers", cty.ListVal([]cty.Value{cty.StringVal(r.portability.Address), cty.StringVal(r.portability.Address)}))
			setText(portability, "zone", enumZone)
		}
	}
	r.writeGateways(exchange, body)
	cold := body.AppendNewBlock("cold", nil).Body()
	setFloat(cold, "from", deployment.InitialCapacity)
	setDuration(cold, "ramp", deployment.RampTime)
	setFloat(cold, "fall_multiple", deployment.OverloadMultiple)
	setDuration(cold, "fall_window", deployment.OverloadWindow)
	for i, bearer := range deployment.Bearers {
		block := body.AppendNewBlock("bearer", []string{r.script.Bearers[i].Name}).Body()
		setFloat(block, "revenue", bearer.Revenue)
		setFloat(block, "late_share", bearer.LateShare)
		setDuration(block, "gos_target", bearer.GoSTarget)
		setDuration(block, "abandon", bearer.AbandonTime)
	}
	for neighbour, address := range r.switchAddresses {
		if neighbour != exchange {
			block := body.AppendNewBlock("neighbour", []string{fmt.Sprintf("exchange-%d", neighbour)}).Body()
			setInt(block, "exchange", neighbour)
			setInt(block, "circuits", r.plan.circuits[exchange][neighbour])
			setText(block, "address", address)
		}
	}
	return file.Bytes()
}
