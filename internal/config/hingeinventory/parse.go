package hingeinventory

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
)

// Files has the contents of the two files that operators write, and the file
// names for problems.
type Files struct {
	InventoryName string
	Inventory     []byte
	RulesName     string
	Rules         []byte
}

// Parse decodes both files and returns all problems, including references
// from one file that the other doesn't resolve.
func Parse(f Files) (Inventory, Rules, []hingetoml.Problem) {
	var inv Inventory
	var rules rulesDocument
	inventory := hingetoml.Read(f.InventoryName, f.Inventory, &inv)
	rulesFile := hingetoml.Read(f.RulesName, f.Rules, &rules)
	r := rules.rules()
	// Values are checked only if all keys and types are valid, so that one
	// misspelt key isn't also reported as missing values.
	if len(inventory.Problems)+len(rulesFile.Problems) == 0 {
		checkInventory(inventory, &inv)
		checkRules(rulesFile, &inv, &r)
	}
	problems := append(inventory.Problems, rulesFile.Problems...)
	hingetoml.Sort(problems)
	return inv, r, problems
}

// Load reads both files from disk. Its error has the first problem and the
// number of problems.
func Load(inventoryPath, rulesPath string) (Inventory, Rules, error) {
	inventory, err := os.ReadFile(inventoryPath)
	if err != nil {
		return Inventory{}, Rules{}, eris.Wrap(err, "inventory")
	}
	rules, err := os.ReadFile(rulesPath)
	if err != nil {
		return Inventory{}, Rules{}, eris.Wrap(err, "rules")
	}
	inv, r, problems := Parse(Files{
		InventoryName: inventoryPath,
		Inventory:     inventory,
		RulesName:     rulesPath,
		Rules:         rules,
	})
	if len(problems) > 0 {
		return Inventory{}, Rules{}, eris.Errorf("%v (problems in all: %d)", problems[0], len(problems))
	}
	return inv, r, nil
}

// Format encodes an inventory and rules as the two files that Parse decodes.
// Keys of customers are replaced by their digests.
func Format(inv *Inventory, r *Rules) (inventory, rules []byte) {
	document := rulesDocument{
		Weights:  r.Weights,
		KeepKeys: hingetoml.Duration(r.KeepKeys),
	}
	for _, c := range r.Classes {
		document.Classes = append(document.Classes, newClassDocument(c))
	}
	for _, c := range r.Customers {
		document.Customers = append(document.Customers, c.withDigestsOnly())
	}
	return marshal(inv), marshal(document)
}
