package storage

import (
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A record has two generations, in two tables: generation g is in table g%2, so that
// each save replaces the older one and a damaged page takes one of them at most.
// A record is born with an empty generation 0, so that a missing row always means
// that something was lost.
var tables = [2]string{"even", "odd"}

// roster is the record that lists the names of the others: without it a record whose
// rows are both gone would look as if it had never been.
const roster = ""

type state uint8

const (
	missing state = iota
	bad
	good
)

// row is what one table has of a record.
type row struct {
	state state
	why   string
	gen   uint64
	data  []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(name string, gen uint64, data []byte) uint32 {
	head := binary.BigEndian.AppendUint64(nil, gen)
	head = binary.BigEndian.AppendUint32(head, uint32(len(name)))
	head = append(head, name...)
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, data)
}

// querier is a database or a transaction.
type querier interface {
	QueryRow(query string, args ...any) *sql.Row
	Exec(query string, args ...any) (sql.Result, error)
}

// readRow fails only where the disk refuses; damage is a state of the row.
func readRow(q querier, table int, name string) (row, error) {
	var gen, crc int64
	var data []byte
	err := q.QueryRow("SELECT gen, crc, data FROM "+tables[table]+" WHERE name = ?", name).
		Scan(&gen, &crc, &data)
	switch {
	case errors.Is(err, sql.ErrNoRows):
		return row{why: "its row is gone"}, nil
	case err != nil && refused(err):
		return row{}, err
	case err != nil:
		return row{state: bad, why: err.Error()}, nil
	case gen < 0 || gen%2 != int64(table):
		return row{state: bad, why: fmt.Sprintf("generation %d in table %s", gen, tables[table])}, nil
	case int64(sum(name, uint64(gen), data)) != crc:
		return row{state: bad, why: "its checksum differs"}, nil
	}
	return row{state: good, gen: uint64(gen), data: data}, nil
}

func writeRow(q querier, name string, gen uint64, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	_, err := q.Exec("REPLACE INTO "+tables[gen%2]+" (name, gen, crc, data) VALUES (?, ?, ?, ?)",
		name, int64(gen), int64(sum(name, gen, data)), data)
	return err
}

// pair is both generations of a record.
type pair [2]row

func readPair(q querier, name string) (p pair, err error) {
	for i := range p {
		if p[i], err = readRow(q, i, name); err != nil {
			return p, err
		}
	}
	return p, nil
}

// newest is the good row with the highest generation, and whether that is beyond
// doubt. A row of generation 0 holds nothing.
func (p pair) newest() (r row, sure bool) {
	for _, c := range p {
		if c.state == good && c.gen > 0 && (r.state != good || c.gen > r.gen) {
			r = c
		}
	}
	return r, p[0].state == good && p[1].state == good
}

// trouble says what is wrong with the rows that aren't good.
func (p pair) trouble() string {
	for i, c := range p {
		if c.state != good {
			return "table " + tables[i] + ": " + c.why
		}
	}
	return "no generation was saved"
}
