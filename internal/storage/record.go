package storage

import (
	"database/sql"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// tables hold the two latest generations of each record: generation g is in table g%2,
// so that each save replaces the older one and a damaged page affects at most one of
// them. A new record starts with an empty generation 0, so that a missing row always
// means data loss.
var tables = [2]string{"even", "odd"}

// nameIndex is the name of the record that lists the names of all others. Without it, a
// record that lost both rows would look as if it had never been saved.
const nameIndex = ""

type rowState uint8

const (
	missing rowState = iota
	corrupt
	intact
)

// row is one table's generation of a record.
type row struct {
	state   rowState
	problem string // why state is not intact
	gen     uint64
	data    []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(name string, gen uint64, data []byte) uint32 {
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

// readRow returns an error only if the disk fails; damage is reported as the row's state.
func readRow(q querier, table int, name string) (row, error) {
	var gen, crc int64
	var data []byte
	err := q.QueryRow("SELECT gen, crc, data FROM "+tables[table]+" WHERE name = ?", name).
		Scan(&gen, &crc, &data)
	switch {
	case errors.Is(err, sql.ErrNoRows):
		return row{problem: "its row is gone"}, nil
	case err != nil && isIOError(err):
		return row{}, err
	case err != nil:
		return row{state: corrupt, problem: err.Error()}, nil
	case gen < 0 || gen%2 != int64(table):
		return row{state: corrupt, problem: fmt.Sprintf("generation %d in table %s", gen, tables[table])}, nil
	case int64(checksum(name, uint64(gen), data)) != crc:
		return row{state: corrupt, problem: "its checksum differs"}, nil
	}
	return row{state: intact, gen: uint64(gen), data: data}, nil
}

func writeRow(q querier, name string, gen uint64, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	_, err := q.Exec("REPLACE INTO "+tables[gen%2]+" (name, gen, crc, data) VALUES (?, ?, ?, ?)",
		name, int64(gen), int64(checksum(name, gen, data)), data)
	return err
}

// generationPair is both generations of a record, by table.
type generationPair [2]row

func readPair(q querier, name string) (p generationPair, err error) {
	for i := range p {
		if p[i], err = readRow(q, i, name); err != nil {
			return p, err
		}
	}
	return p, nil
}

// newest returns the intact row with the highest generation, ignoring the empty
// generation 0. confirmed is false if the other row is lost: it may have been newer.
func (p generationPair) newest() (r row, confirmed bool) {
	for _, c := range p {
		if c.state == intact && c.gen > 0 && (r.state != intact || c.gen > r.gen) {
			r = c
		}
	}
	return r, p[0].state == intact && p[1].state == intact
}

// problem describes the first row that is not intact.
func (p generationPair) problem() string {
	for i, c := range p {
		if c.state != intact {
			return "table " + tables[i] + ": " + c.problem
		}
	}
	return "no generation was saved"
}
