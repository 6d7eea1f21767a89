package day

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var randomDays = flag.Int("hunt", 12, "number of random days")

var keepDir = flag.String("keep", "", "folder for the audit log")

// Checks the rules on random days with several overlapping troubles.
func TestRulesHoldOnRandomDays(t *testing.T) {
	usable := []string{}
	for _, k := range TroubleKinds() {
		if k != "portability" && k != "tables_change" && k != "gateways" {
			usable = append(usable, k)
		}
	}
	for seed := range *randomDays {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0xda))
			var descriptions []string
			report := runVirtual(t, "quiet.hcl", func(script *Script) {
				script.Seed, script.Duration, script.ExchangeCount = uint64(seed), 16*time.Second, 3+random.IntN(4)
				script.LoadFactor = 0.6 + 0.6*random.Float64()
				for range 3 + random.IntN(5) {
					trouble := drawTrouble(random, usable[random.IntN(len(usable))])
					script.Troubles = append(script.Troubles, trouble)
					descriptions = append(descriptions, fmt.Sprintf("%v at %v", trouble, trouble.Start))
				}
			})
			if len(report.Violations) > 0 {
				t.Errorf("%d violations; troubles %q", len(report.Violations), descriptions)
			}
			requireRulesHold(t, report, 0)
		})
	}
}

// drawTrouble draws one trouble of a kind that starts within the first 12 s of a day.
func drawTrouble(random *rand.Rand, name string) Trouble {
	kind := troubleKinds[name]
	size := kind.minSize + (min(kind.maxSize, kind.minSize+3)-kind.minSize)*random.Float64()
	trouble := Trouble{Kind: name, Start: time.Duration(random.Int64N(int64(12 * time.Second))), Fraction: random.Float64(), Size: size,
		Duration: time.Duration(random.Int64N(int64(8 * time.Second))), Interval: time.Second + time.Duration(random.Int64N(int64(3*time.Second)))}
	if len(kind.how) > 0 {
		trouble.How = kind.how[random.IntN(len(kind.how))]
	}
	if name == "controllers_stall" {
		trouble.Size = min(trouble.Size, 0.9*trouble.Interval.Seconds())
	}
	return trouble
}

// Checks the rules on random days with phones at gateways and faults of the gateways, their users, their network and others.
func TestRulesHoldForPhonesOnRandomDays(t *testing.T) {
	others := []string{"controllers_kill", "controllers_stall", "controllers_roll", "hung", "links_reset", "mass_restart", "slow", "drain", "answers_lost", "half_open"}
	for seed := range *randomDays / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 0x9a))
			var descriptions []string
			report := runVirtual(t, "mgcp.hcl", func(script *Script) {
				script.Seed, script.Duration, script.ExchangeCount, script.Troubles = uint64(seed), 25*time.Second, 2+random.IntN(3), nil
				script.Gateways.CallRate, script.Gateways.PerExchange = 30, 2
				for range 2 + random.IntN(5) {
					trouble := drawTrouble(random, "gateways")
					if trouble.Size = random.Float64(); trouble.How == "loss" || trouble.How == "truncated" {
						trouble.Size *= 0.25
					}
					script.Troubles = append(script.Troubles, trouble)
				}
				for range random.IntN(3) {
					script.Troubles = append(script.Troubles, drawTrouble(random, others[random.IntN(len(others))]))
				}
				for _, trouble := range script.Troubles {
					descriptions = append(descriptions, fmt.Sprintf("%v at %v", trouble, trouble.Start))
				}
			})
			if len(report.Violations) > 0 {
				t.Errorf("%d violations; troubles %q", len(report.Violations), descriptions)
			}
			requireRulesHold(t, report, 0)
		})
	}
}
