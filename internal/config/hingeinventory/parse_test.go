package hingeinventory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/swifthinge/swifthinge/internal/config/hingesettings"
	"github.com/swifthinge/swifthinge/internal/config/hingetoml"
)

var workloads = []string{"viviers", "smriti"}

func example(t testing.TB, workload string) (Inventory, Rules) {
	t.Helper()
	folder := filepath.Join("../../../examples", workload)
	inv, r, err := Load(filepath.Join(folder, "inventory.toml"), filepath.Join(folder, "rules.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return inv, r
}

func lines(problems []hingetoml.Problem) string {
	var b strings.Builder
	for _, p := range problems {
		b.WriteString(p.String() + "\n")
	}
	return b.String()
}

// Guards against errors in a file that are reported one at a time, or without
// their line and the expected value.
func TestProblems(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no test scripts found", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			archive, err := txtar.ParseFile(script)
			if err != nil {
				t.Fatal(err)
			}
			files := make(map[string]string)
			for _, f := range archive.Files {
				files[f.Name] = string(f.Data)
			}
			_, _, problems := Parse(Files{
				InventoryName: "inventory.toml",
				Inventory:     []byte(files["inventory.toml"]),
				RulesName:     "rules.toml",
				Rules:         []byte(files["rules.toml"]),
			})
			if diff := cmp.Diff(strings.Split(files["want"], "\n"), strings.Split(lines(problems), "\n")); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against examples that don't load, lack entries, or whose settings
// disagree with the inventory on the hosts of a zone.
func TestExamples(t *testing.T) {
	want := map[string][4]int{
		"viviers": {7, 9, 3, 4},
		"smriti":  {6, 9, 3, 4},
	}
	for _, workload := range workloads {
		inv, rules := example(t, workload)
		var got [4]int
		for _, z := range inv.Zones {
			for _, h := range z.Hosts {
				got[0]++
				path := filepath.Join("../../../examples", workload, string(h)+".toml")
				s, err := hingesettings.Load(path)
				if err != nil {
					t.Error(err)
				}
				if s.Host != h || s.Zone != z.Name || len(s.Peers) != want[workload][0] {
					t.Errorf("%s: host %s in zone %s with %d peers doesn't match the inventory", path, s.Host, s.Zone, len(s.Peers))
				}
			}
		}
		for _, s := range inv.Servers {
			if s.Model != "" {
				got[1]++
			} else {
				got[2]++
			}
		}
		got[3] = len(rules.Classes)
		if diff := cmp.Diff(want[workload], got); diff != "" {
			t.Errorf("%s: hosts, engines, replicas, classes (-want +got):\n%s", workload, diff)
		}
	}
}

// Guards against changes of the inventory, rules or encoded items in a round
// trip through items and files. Only the order of unordered entries may change.
func TestSplitAndJoin(t *testing.T) {
	for _, workload := range workloads {
		inv, rules := example(t, workload)
		items := Split(&inv, &rules)
		inv2, rules2, err := FromItems(items)
		if err != nil {
			t.Fatal(err)
		}
		sorted := []cmp.Option{
			cmpopts.SortSlices(func(a, b Zone) bool { return a.Name < b.Name }),
			cmpopts.SortSlices(func(a, b Server) bool { return a.Name < b.Name }),
			cmpopts.SortSlices(func(a, b Link) bool { return linkItemPath(a) < linkItemPath(b) }),
		}
		if diff := cmp.Diff(inv, inv2, sorted...); diff != "" {
			t.Errorf("%s: inventory (-want +got):\n%s", workload, diff)
		}
		if diff := cmp.Diff(rules, rules2); diff != "" {
			t.Errorf("%s: rules (-want +got):\n%s", workload, diff)
		}
		inventoryFile, rulesFile := Format(&inv2, &rules2)
		inv3, rules3, problems := Parse(Files{
			Inventory: inventoryFile,
			Rules:     rulesFile,
		})
		if len(problems) > 0 {
			t.Errorf("%s: formatted: %v", workload, problems)
		}
		puts, deletes := Difference(items, Split(&inv3, &rules3))
		if len(puts)+len(deletes) > 0 {
			t.Errorf("%s: items differ: %d puts, %d deletes", workload, len(puts), len(deletes))
		}
	}
}

// Guards against concurrent changes that are valid separately but leave dangling
// references or mismatched names together, and against problems without the item.
func TestJoinFindsProblemsBetweenItems(t *testing.T) {
	inv, rules := example(t, "viviers")
	items := Patch(Split(&inv, &rules), Items{
		"models/other": []byte("name = 'redacteur'\ncacheBytesPerToken = 1\nweightBytes = 1\n"),
	}, []string{"zones/roscoff", "servers/redacteur-1"})
	_, _, problems := Join(items)
	got := lines(problems)
	for _, want := range []string{
		"models/other: holds the entry of another path: models/redacteur",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("problem %q is missing in:\n%s", want, got)
		}
	}
	delete(items, "models/other")
	_, _, problems = Join(items)
	if want := `servers/redacteur-4: zone: no such zone: "roscoff"; want one of the inventory: cancale, quiberon`; !strings.Contains(lines(problems), want) {
		t.Errorf("problem %q is missing in:\n%s", want, lines(problems))
	}
}

func TestDifference(t *testing.T) {
	old := Items{
		"a": []byte("1"),
		"b": []byte("2"),
	}
	next := Items{
		"b": []byte("3"),
		"c": []byte("4"),
	}
	puts, deletes := Difference(old, next)
	if diff := cmp.Diff(next, Patch(old, puts, deletes)); diff != "" {
		t.Errorf("patched (-want +got):\n%s", diff)
	}
	puts, deletes = Difference(next, next)
	if len(puts)+len(deletes) > 0 {
		t.Errorf("equal items differ: puts %v, deletes %v", puts, deletes)
	}
}

func FuzzParse(f *testing.F) {
	for _, workload := range workloads {
		folder := filepath.Join("../../../examples", workload)
		inventory, err := os.ReadFile(filepath.Join(folder, "inventory.toml"))
		if err != nil {
			f.Fatal(err)
		}
		rules, err := os.ReadFile(filepath.Join(folder, "rules.toml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(inventory, rules)
	}
	f.Add([]byte("zones = [1, {name = 2}]\na.b.c = 3\n[[links]]\n"), []byte("keepKeys = 3\n[[classes.x]]\n"))
	f.Fuzz(func(t *testing.T, inventory, rules []byte) {
		inv, r, problems := Parse(Files{
			InventoryName: "inventory.toml",
			Inventory:     inventory,
			RulesName:     "rules.toml",
			Rules:         rules,
		})
		if len(problems) > 0 {
			return
		}
		// Files without problems must also have none as items.
		if _, _, err := FromItems(Split(&inv, &r)); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzJoin(f *testing.F) {
	inv, r := example(f, "smriti")
	for path, document := range Split(&inv, &r) {
		f.Add(path, document)
	}
	f.Fuzz(func(t *testing.T, path string, document []byte) {
		items := Patch(Split(&inv, &r), Items{
			path: document,
		}, nil)
		inv2, r2, err := FromItems(items)
		if err != nil {
			return
		}
		if _, _, err := FromItems(Split(&inv2, &r2)); err != nil {
			t.Fatal(err)
		}
	})
}
