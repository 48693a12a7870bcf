package hingecommand

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against error codes and commands that are missing in the documentation.
func TestDocsListCodesAndCommands(t *testing.T) {
	interfaces := readFile(t, "../../../docs/INTERFACES.md")
	codes := regexp.MustCompile(`Code(\w+) +Code = (\d+)`).FindAllStringSubmatch(readFile(t, "../../core/hingeverdict/codes.go"), -1)
	if len(codes) == 0 {
		t.Fatal("no codes found")
	}
	for _, c := range codes {
		if row := "| " + c[2] + " | " + c[1] + " |"; !strings.Contains(interfaces, row) {
			t.Errorf("docs/INTERFACES.md has no row %q", row)
		}
	}
	operating := readFile(t, "../../../docs/OPERATING.md")
	p := &program{}
	for _, c := range p.root().Commands {
		if row := "| `swifthinge " + c.Name; !strings.Contains(operating, row) {
			t.Errorf("docs/OPERATING.md has no row that begins with %q", row)
		}
	}
}
