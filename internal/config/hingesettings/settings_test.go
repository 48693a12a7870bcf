package hingesettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

// Guards against settings errors that are reported one at a time, or without
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
			var got strings.Builder
			_, problems := Check(archive.Files[0].Name, archive.Files[0].Data)
			for _, p := range problems {
				got.WriteString(p.String() + "\n")
			}
			if diff := cmp.Diff(strings.Split(string(archive.Files[1].Data), "\n"), strings.Split(got.String(), "\n")); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against omitted limits that are zero instead of their defaults, which
// would reject or allow everything.
func TestDefaults(t *testing.T) {
	s, _ := Check("settings.toml", []byte("limits.connections = 5\n"))
	want := Defaults().Limits
	want.Connections = 5
	if diff := cmp.Diff(want, s.Limits); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
}

func FuzzCheck(f *testing.F) {
	example, err := os.ReadFile("../../../examples/viviers/cancale-1.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte("peers = [[], {}, 3]\n[listen.callers]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := Check("settings.toml", data)
		for _, p := range problems {
			if strings.TrimSpace(p.Text) == "" {
				t.Fatalf("problem has no text: %+v", p)
			}
		}
		if len(problems) == 0 && (s.Host == "" || len(s.Peers) < 2) {
			t.Fatalf("invalid settings have no problem: %+v", s)
		}
	})
}
