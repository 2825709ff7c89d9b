package storage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// survey reads everything there is, and returns what is damaged in a way that a later
// save wouldn't put right. A record with a row missing is no such damage.
func (v *Store) survey() (what string, err error) {
	var verdict string
	if err := v.db.QueryRow("PRAGMA quick_check(1)").Scan(&verdict); err != nil {
		if refused(err) {
			return "", &IOError{v.path, "checking", err}
		}
		what = err.Error()
	} else if verdict != "ok" {
		what = verdict
	}
	named, spoiled, err := v.listed()
	if err != nil {
		return "", &IOError{v.path, "listing", err}
	}
	what = cmp.Or(what, spoiled)
	v.gens = make(map[string]uint64, len(named))
	for _, name := range slices.Sorted(maps.Keys(named)) {
		p, err := readPair(v.db, name)
		if err != nil {
			return "", &IOError{v.path, "reading", err}
		}
		r, _ := p.newest()
		if p[0].state == bad || p[1].state == bad || !named[name] {
			what = cmp.Or(what, fmt.Sprintf("record %q: %s", name, p.trouble()))
		}
		if named[name] || r.state == good {
			v.gens[name] = r.gen
		}
	}
	return what, nil
}

// listed has the names that the roster lists, as true, and others that the tables
// have: a name that damage has changed, or one that a lost roster listed. It returns
// what else is damaged.
func (v *Store) listed() (named map[string]bool, what string, err error) {
	named = map[string]bool{}
	for _, t := range tables {
		for _, order := range []string{"ASC", "DESC"} {
			if err := v.scan(t, order, named); err != nil && refused(err) {
				return nil, "", err
			} else if err != nil {
				what = err.Error()
			}
		}
	}
	p, err := readPair(v.db, roster)
	if err != nil {
		return nil, "", err
	}
	r, sure := p.newest()
	if !sure {
		what = cmp.Or(what, "the roster: "+p.trouble())
	}
	if r.state == good {
		var list []string
		if err := json.Unmarshal(r.data, &list); err != nil {
			what = cmp.Or(what, "the roster: "+err.Error())
		}
		for _, name := range list {
			named[name] = true
		}
	}
	delete(named, roster)
	return named, what, nil
}

// scan adds the names of a table as far as it can be read in one direction.
func (v *Store) scan(table, order string, names map[string]bool) error {
	rows, err := v.db.Query("SELECT name FROM " + table + " ORDER BY name " + order)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var name string
		if err := rows.Scan(&name); err != nil {
			return err
		}
		names[name] = false
	}
	return rows.Err()
}
