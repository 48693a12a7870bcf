package hingecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/swifthinge/swifthinge/internal/config/hingeinventory"
	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
)

const (
	settingsFlagName  = "settings"
	inventoryFlagName = "inventory"
	rulesFlagName     = "rules"
)

func inventoryFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name:     inventoryFlagName,
		Usage:    "inventory `FILE`",
		Required: required,
	}
}

func rulesFlag(required bool) cli.Flag {
	return &cli.StringFlag{
		Name:     rulesFlagName,
		Usage:    "rules `FILE`",
		Required: required,
	}
}

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check settings, inventory and rules without touching a running system",
		Description: "Every problem is a line on standard error with file, line, key, the fault and the expected value.\n" +
			"The files are also checked against each other. Pass the settings of all entry hosts to compare them.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:  settingsFlagName,
				Usage: "settings `FILE` of an entry host; may be given several times",
			},
			inventoryFlag(false),
			rulesFlag(false),
			jsonFlag(),
		},
		Action: p.check,
	}
}

func (p *program) check(_ context.Context, c *cli.Command) error {
	settings := c.StringSlice(settingsFlagName)
	inventory, rules := c.String(inventoryFlagName), c.String(rulesFlagName)
	if len(settings) == 0 && inventory == "" {
		return eris.New("nothing to check (pass --settings, or --inventory and --rules)")
	}
	if (inventory == "") != (rules == "") {
		return eris.New("inventory and rules are checked together: pass both --inventory and --rules")
	}
	var inv *hingeinventory.Inventory
	var problems []hingetoml.Problem
	if inventory != "" {
		parsed, _, found, err := readFiles(inventory, rules)
		if err != nil {
			return err
		}
		inv = &parsed
		problems = found
	}
	found, err := checkSettings(settings, inv)
	if err != nil {
		return err
	}
	return p.report(append(problems, found...), c.Bool(jsonFlagName))
}

// report prints the problems and returns an error if there are any.
func (p *program) report(problems []hingetoml.Problem, asJSON bool) error {
	if asJSON {
		if problems == nil {
			problems = []hingetoml.Problem{}
		}
		if err := p.writeJSON(problems); err != nil {
			return err
		}
	} else {
		for _, x := range problems {
			p.progressf("%v\n", x)
		}
	}
	if len(problems) > 0 {
		return eris.Errorf("problems found: %d", len(problems))
	}
	if !asJSON {
		p.printf("no problem found\n")
	}
	return nil
}

func (p *program) writeJSON(v any) error {
	return eris.Wrap(json.NewEncoder(p.Out).Encode(v), "write JSON output")
}

func readFiles(inventoryPath, rulesPath string) (hingeinventory.Inventory, hingeinventory.Rules, []hingetoml.Problem, error) {
	inventory, err := os.ReadFile(inventoryPath)
	if err != nil {
		return hingeinventory.Inventory{}, hingeinventory.Rules{}, nil, eris.Wrap(err, "inventory")
	}
	rules, err := os.ReadFile(rulesPath)
	if err != nil {
		return hingeinventory.Inventory{}, hingeinventory.Rules{}, nil, eris.Wrap(err, "rules")
	}
	inv, r, problems := hingeinventory.Parse(hingeinventory.Files{
		InventoryName: inventoryPath,
		Inventory:     inventory,
		RulesName:     rulesPath,
		Rules:         rules,
	})
	return inv, r, problems, nil
}

// checkSettings validates each settings file, its host against the inventory if
// there is one, and its peers against those of the first file. Hosts with
// different lists of peers would disagree about the quorum.
func checkSettings(paths []string, inv *hingeinventory.Inventory) ([]hingetoml.Problem, error) {
	var problems []hingetoml.Problem
	var firstPeers []hingesettings.Peer
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "settings")
		}
		s, found := hingesettings.Check(path, data)
		problems = append(problems, found...)
		if len(found) > 0 {
			continue
		}
		if inv != nil && !listsHost(inv, s) {
			problems = append(problems, hingetoml.Problem{
				File: path,
				Key:  "host",
				Text: fmt.Sprintf("the inventory has no host %s in zone %s", s.Host, s.Zone),
				Want: "host and zone as in the inventory",
			})
		}
		if i == 0 {
			firstPeers = s.Peers
		}
		if firstPeers != nil && !slices.Equal(firstPeers, s.Peers) {
			problems = append(problems, hingetoml.Problem{
				File: path,
				Key:  "peers",
				Text: "are not those of " + paths[0],
				Want: "the same peers in the same order everywhere",
			})
		}
	}
	return problems, nil
}

func listsHost(inv *hingeinventory.Inventory, s hingesettings.Settings) bool {
	for _, z := range inv.Zones {
		if z.Name == s.Zone {
			return slices.Contains(z.Hosts, s.Host)
		}
	}
	return false
}
