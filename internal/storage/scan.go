package storage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// scan reads the whole file, fills s.generations and describes any damage that a later
// save would not repair. A missing row of a record is not reported: the next saves
// replace it.
func (s *Store) scan() (damage string, err error) {
	var checkResult string
	if err := s.db.QueryRow("PRAGMA quick_check(1)").Scan(&checkResult); err != nil {
		if isIOError(err) {
			return "", &IOError{s.path, "checking", err}
		}
		damage = err.Error()
	} else if checkResult != "ok" {
		damage = checkResult
	}
	named, namesDamage, err := s.readNames()
	if err != nil {
		return "", &IOError{s.path, "listing", err}
	}
	damage = cmp.Or(damage, namesDamage)
	s.generations = make(map[string]uint64, len(named))
	for _, name := range slices.Sorted(maps.Keys(named)) {
		p, err := readPair(s.db, name)
		if err != nil {
			return "", &IOError{s.path, "reading", err}
		}
		r, _ := p.newest()
		if p[0].state == corrupt || p[1].state == corrupt || !named[name] {
			damage = cmp.Or(damage, fmt.Sprintf("record %q: %s", name, p.problem()))
		}
		if named[name] || r.state == intact {
			s.generations[name] = r.gen
		}
	}
	return damage, nil
}

// readNames returns the record names in the name index (as true) and those found only in
// the tables (as false): a name changed by damage, or one that a lost index listed. It
// also describes any damage to the tables or the index.
func (s *Store) readNames() (named map[string]bool, damage string, err error) {
	named = map[string]bool{}
	for _, t := range tables {
		for _, order := range []string{"ASC", "DESC"} {
			if err := s.scanTable(t, order, named); err != nil && isIOError(err) {
				return nil, "", err
			} else if err != nil {
				damage = err.Error()
			}
		}
	}
	p, err := readPair(s.db, nameIndex)
	if err != nil {
		return nil, "", err
	}
	r, confirmed := p.newest()
	if !confirmed {
		damage = cmp.Or(damage, "the roster: "+p.problem())
	}
	if r.state == intact {
		var list []string
		if err := json.Unmarshal(r.data, &list); err != nil {
			damage = cmp.Or(damage, "the roster: "+err.Error())
		}
		for _, name := range list {
			named[name] = true
		}
	}
	delete(named, nameIndex)
	return named, damage, nil
}

// scanTable adds the names of a table, in the given order, until a row is unreadable. Both
// orders together reach the rows on either side of a damaged page.
func (s *Store) scanTable(table, order string, names map[string]bool) error {
	rows, err := s.db.Query("SELECT name FROM " + table + " ORDER BY name " + order)
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
