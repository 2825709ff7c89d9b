package cluster

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

func unmarshal(data []byte, m proto.Message) error { return proto.Unmarshal(data, m) }

// Store is a Disk in a folder. It uses one bbolt file, which is synced before Save
// returns. Each record has a checksum over its key and value, since bbolt has no
// checksums for data pages.
type Store struct{ db *bbolt.DB }

const (
	storeFile   = "log.db"
	storeFormat = 1
)

var (
	logBucket  = []byte("log")
	metaBucket = []byte("meta")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// identity is the record of the folder's owner, written when the folder is created.
type identity struct {
	Format  int    `json:"format"`
	Cluster string `json:"cluster"`
	Self    Peer   `json:"self"`

	// Inode and birth time of the file when it was created. A copy has different ones, and
	// may lack votes and entries that this voter has acknowledged since.
	Inode uint64 `json:"inode"`
	Born  int64  `json:"born"` // Unix time in ns; 0: not supported by the file system
}

// ErrCopiedFolder means that a folder is a copy or was restored from one.
var ErrCopiedFolder = errors.New("it is a copy: what its voter has said since is not in it")

// fileOrigin returns the inode and birth time, which distinguish a file from its copies.
func fileOrigin(file string) (inode uint64, born int64, err error) {
	var s unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, file, 0, unix.STATX_INO|unix.STATX_BTIME, &s); err != nil {
		return 0, 0, err
	}
	if s.Mask&unix.STATX_BTIME != 0 {
		born = s.Btime.Sec*1e9 + int64(s.Btime.Nsec)
	}
	return s.Ino, born, nil
}

// ErrDamaged means that a folder's content is corrupt. Its voter stops voting. To
// recover, give the member an empty folder and make it a voter again.
var ErrDamaged = errors.New("damaged")

// Open opens a folder and initializes it if it is empty. The identity is stored in the
// folder; self.ID is used only for a new one.
func Open(folder, cluster string, self Peer) (s *Store, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	defer recoverDamage(&err)
	db, err := bbolt.Open(filepath.Join(folder, storeFile), 0o600, &bbolt.Options{Timeout: 2 * time.Second, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	s = &Store{db}
	inode, born, err := fileOrigin(filepath.Join(folder, storeFile))
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	var was *identity
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err == nil {
			_, err = tx.CreateBucketIfNotExists(logBucket)
		}
		if err != nil {
			return err
		}
		data, err := get(meta, "identity")
		if err != nil {
			return err
		}
		if data == nil {
			text, err := json.Marshal(identity{storeFormat, cluster, self, inode, born})
			if err != nil {
				return err
			}
			return put(meta, []byte("identity"), text)
		}
		was = &identity{}
		return json.Unmarshal(data, was)
	})
	switch {
	case err != nil:
	case was == nil:
	case was.Format > storeFormat:
		err = fmt.Errorf("format %d, this program knows %d", was.Format, storeFormat)
	case was.Cluster != cluster:
		err = fmt.Errorf("belongs to cluster %q, not %q", was.Cluster, cluster)
	case was.Inode != inode || was.Born != born:
		err = ErrCopiedFolder
	case was.Self.Name != self.Name:
		err = fmt.Errorf("belongs to %s, not %s", was.Self.Name, self.Name)
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return s, nil
}

// recoverDamage turns a panic into ErrDamaged: bbolt panics on corrupt pages.
func recoverDamage(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func recordChecksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, binary.BigEndian.AppendUint32(append([]byte(nil), value...), recordChecksum(key, value)))
}

func get(b *bbolt.Bucket, key string) ([]byte, error) {
	return verifyRecord([]byte(key), b.Get([]byte(key)))
}

// verifyRecord checks a record's checksum and returns its value; nil: no record.
func verifyRecord(key, record []byte) ([]byte, error) {
	if record == nil {
		return nil, nil
	}
	n := len(record) - 4
	if n < 0 || recordChecksum(key, record[:n]) != binary.BigEndian.Uint32(record[n:]) {
		return nil, fmt.Errorf("%w: record %q", ErrDamaged, key)
	}
	return append([]byte(nil), record[:n]...), nil
}

// Load reads the stored state and verifies that the log is complete.
func (s *Store) Load() (saved *Saved, err error) {
	defer recoverDamage(&err)
	saved = &Saved{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		who, err := get(meta, "identity")
		if err != nil {
			return err
		}
		var id identity
		if err := json.Unmarshal(who, &id); err != nil {
			return fmt.Errorf("identity: %w", err)
		}
		saved.Self, saved.Cluster = id.Self, id.Cluster
		for key, to := range map[string]proto.Message{"hard": &raftpb.HardState{}, "snapshot": &raftpb.Snapshot{}} {
			data, err := get(meta, key)
			if err != nil {
				return err
			}
			if data == nil {
				continue
			}
			if err := proto.Unmarshal(data, to); err != nil {
				return fmt.Errorf("%w: %s: %v", ErrDamaged, key, err)
			}
			switch to := to.(type) {
			case *raftpb.HardState:
				saved.Hard = to
			case *raftpb.Snapshot:
				saved.Snapshot = to
			}
		}
		next := uint64(1)
		if saved.Snapshot != nil {
			next = saved.Snapshot.GetMetadata().GetIndex() + 1
		}
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			data, err := verifyRecord(k, v)
			if err != nil {
				return err
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(data, e); err != nil {
				return fmt.Errorf("%w: entry: %v", ErrDamaged, err)
			}
			if e.GetIndex() < next && len(saved.Entries) == 0 { // covered by the snapshot
				return nil
			}
			if e.GetIndex() != next {
				return fmt.Errorf("%w: entry %d is missing", ErrDamaged, next)
			}
			next++
			saved.Entries = append(saved.Entries, e)
			return nil
		})
	})
	if err != nil {
		return nil, err
	}
	if saved.Hard != nil && saved.Snapshot != nil {
		if last := saved.Snapshot.GetMetadata().GetIndex() + uint64(len(saved.Entries)); saved.Hard.GetCommit() > last {
			return nil, fmt.Errorf("%w: entries up to %d were committed, the log ends at %d", ErrDamaged, saved.Hard.GetCommit(), last)
		}
	}
	return saved, nil
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Save stores all arguments in one transaction.
func (s *Store) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) (err error) {
	defer recoverDamage(&err)
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if snapshot != nil {
			if err := compact(tx, snapshot, math.MaxUint64); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // entries after the new ones are obsolete
			c := log.Cursor()
			last := entries[len(entries)-1].GetIndex()
			for k, _ := c.Last(); k != nil && binary.BigEndian.Uint64(k) > last; k, _ = c.Last() {
				if err := log.Delete(k); err != nil {
					return err
				}
			}
		}
		for _, e := range entries {
			data, err := proto.Marshal(e)
			if err == nil {
				err = put(log, indexKey(e.GetIndex()), data)
			}
			if err != nil {
				return err
			}
		}
		if hard != nil {
			data, err := proto.Marshal(hard)
			if err != nil {
				return err
			}
			return put(meta, []byte("hard"), data)
		}
		return nil
	})
}

// Compact stores a snapshot and deletes the entries that it covers.
func (s *Store) Compact(snapshot *raftpb.Snapshot) (err error) {
	defer recoverDamage(&err)
	return s.db.Update(func(tx *bbolt.Tx) error { return compact(tx, snapshot, snapshot.GetMetadata().GetIndex()) })
}

// compact stores a snapshot and deletes the entries up to an index.
func compact(tx *bbolt.Tx, snapshot *raftpb.Snapshot, upTo uint64) error {
	data, err := proto.Marshal(snapshot)
	if err == nil {
		err = put(tx.Bucket(metaBucket), []byte("snapshot"), data)
	}
	if err != nil {
		return err
	}
	log := tx.Bucket(logBucket)
	c := log.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= upTo; k, _ = c.First() {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Form initializes an empty folder with the first state of a cluster.
func (s *Store) Form(voters []Peer) error {
	saved, err := s.Load()
	if err != nil {
		return err
	}
	if saved.Snapshot != nil || saved.Hard != nil {
		return errors.New("the folder holds a cluster's state already")
	}
	return s.Save(&raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}, nil, Bootstrap(voters))
}
