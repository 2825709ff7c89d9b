package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Mutant is a fault put into the gateway's source, to see whether the rule checkers
// find it.
type Mutant struct {
	Name, What, Rule string
	Edits            []Edit
}

// Edit replaces a piece of a file, which must be there just once.
type Edit struct{ File, Old, New string }

// ReadMutant reads one: comments "# what" and "# rule: name", and for each edit a
// line "file PATH", lines that begin with - for what is there, and with + for what
// takes its place.
func ReadMutant(path string) (Mutant, error) {
	m := Mutant{Name: strings.TrimSuffix(filepath.Base(path), ".txt")}
	text, err := os.ReadFile(path)
	if err != nil {
		return m, err
	}
	var e *Edit
	for n, line := range strings.Split(strings.TrimRight(string(text), "\n"), "\n") {
		switch {
		case strings.HasPrefix(line, "# rule: "):
			m.Rule = line[len("# rule: "):]
		case strings.HasPrefix(line, "# "):
			m.What = line[2:]
		case strings.HasPrefix(line, "file "):
			m.Edits = append(m.Edits, Edit{File: line[len("file "):]})
			e = &m.Edits[len(m.Edits)-1]
		case e != nil && strings.HasPrefix(line, "-"):
			e.Old += line[1:] + "\n"
		case e != nil && strings.HasPrefix(line, "+"):
			e.New += line[1:] + "\n"
		default:
			return m, fmt.Errorf("%s: line %d: %q", path, n+1, line)
		}
	}
	if m.Rule == "" || len(m.Edits) == 0 {
		return m, fmt.Errorf("%s: no rule, or no edit", path)
	}
	return m, nil
}

// overlay writes the changed files, and the file that go build takes them from.
func (m Mutant) overlay(repo, dir string) (string, error) {
	changed := map[string]string{}
	for _, e := range m.Edits {
		text, ok := changed[e.File]
		if !ok {
			b, err := os.ReadFile(filepath.Join(repo, e.File))
			if err != nil {
				return "", err
			}
			text = string(b)
		}
		if n := strings.Count(text, e.Old); n != 1 {
			return "", fmt.Errorf("mutant %s: %s has what is to be replaced %d times", m.Name, e.File, n)
		}
		changed[e.File] = strings.Replace(text, e.Old, e.New, 1)
	}
	var o struct{ Replace map[string]string }
	o.Replace = map[string]string{}
	for file, text := range changed {
		to := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(to, []byte(text), 0o600); err != nil {
			return "", err
		}
		from, err := filepath.Abs(filepath.Join(repo, file))
		if err != nil {
			return "", err
		}
		o.Replace[from] = to
	}
	text, err := json.Marshal(o)
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, text, 0o600)
}

// MeasureSeeds builds the laboratory with each mutant in its gateways, and counts the
// seeds until a rule breaks. only, if there are any, names those that are tried.
func MeasureSeeds(repo string, only []string, seed uint64, most int) (*Report, error) {
	r := &Report{Name: "seeds", Seed: seed, Figure: map[string]any{}}
	return huntAll(r, repo, "internal/sim", "seeds", only, seed, most)
}

// MeasureClusterMutants is the same for the cluster's virtual world.
func MeasureClusterMutants(repo string, only []string, seed uint64, most int) (*Report, error) {
	r := &Report{Name: "cluster-mutants", Seed: seed, Figure: map[string]any{}}
	return huntAll(r, repo, "internal/cluster/world", "cluster-seeds", only, seed, most)
}

// MeasureSystemMutants is the same for the whole system's days.
func MeasureSystemMutants(repo string, only []string, seed uint64, most int) (*Report, error) {
	r := &Report{Name: "system-mutants", Seed: seed, Figure: map[string]any{}}
	return huntAll(r, repo, "internal/systemsim", "days", only, seed, most)
}

// huntAll hunts the mutants of a virtual world, which a command of the laboratory plays.
func huntAll(r *Report, repo, world, command string, only []string, seed uint64, most int) (*Report, error) {
	files, err := filepath.Glob(filepath.Join(repo, world, "testdata/mutants/*.txt"))
	if err != nil || len(files) == 0 {
		return nil, fmt.Errorf("no mutants below %s: run this in the repository, or name it with --repo", repo)
	}
	r.Row("mutant", "rule", "found by", "seeds", "seconds", "what")
	found := map[string]int{}
	for _, f := range files {
		m, err := ReadMutant(f)
		if err != nil {
			return nil, err
		}
		if len(only) > 0 && !slices.Contains(only, m.Name) {
			continue
		}
		by, seeds, took, err := m.hunt(repo, command, seed, most)
		if err != nil {
			return nil, err
		}
		r.Row(m.Name, m.Rule, by, seeds, took.Seconds(), m.What)
		fmt.Fprintf(os.Stderr, "%s: %q after %d seeds\n", m.Name, by, seeds)
		r.Rule(by != "", "mutant %s is not found within %d seeds", m.Name, most)
		if by != "" {
			found[m.Name] = seeds
		}
	}
	r.Figure["mutants"], r.Figure["found"], r.Figure["seeds_needed"] = len(files), len(found), found
	return r, nil
}

var brokenBy = regexp.MustCompile(`(?m)^seed (\d+) broke "([^"]+)"`)

// hunt runs seeds until one fails, and tells the rule that broke.
func (m Mutant) hunt(repo, command string, seed uint64, most int) (by string, seeds int, took time.Duration, err error) {
	dir, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", 0, 0, err
	}
	defer os.RemoveAll(dir)
	overlay, err := m.overlay(repo, dir)
	if err != nil {
		return "", 0, 0, err
	}
	binary := filepath.Join(dir, "asterlab")
	build := exec.Command("go", "build", "-overlay", overlay, "-o", binary, "./cmd/asterlab")
	build.Dir = repo
	if out, err := build.CombinedOutput(); err != nil {
		return "", 0, 0, fmt.Errorf("mutant %s: %w: %s", m.Name, err, out)
	}
	began := time.Now()
	run := exec.Command(binary, command, "--first", "--from", fmt.Sprint(seed), "--count", fmt.Sprint(most))
	var out bytes.Buffer
	run.Stdout = &out
	run.Run() // ends with 1 where a rule broke
	took = time.Since(began)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var sum struct {
		Seeds int `json:"seeds"`
	}
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &sum); err != nil {
		return "", 0, 0, fmt.Errorf("mutant %s: %w: %s", m.Name, err, out.String())
	}
	if hit := brokenBy.FindStringSubmatch(out.String()); hit != nil {
		by = hit[2]
	}
	return by, sum.Seeds, took, nil
}
