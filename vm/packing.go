package vm

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const (
	// packedFrom is the size in bytes from which values are compressed on their
	// way to other VMs. A configuration with 1,500 routes is a tenth then, and
	// the leader sends it to every VM.
	packedFrom = 4 << 10
	// unpackedLimit bounds a value that another VM sent, in bytes.
	unpackedLimit = 64 << 20
)

// packedDeployment keeps the compressed form of the configuration in force,
// which many VMs ask for.
type packedDeployment struct {
	mutex    sync.Mutex
	version  uint64
	document []byte
}

// of returns the compressed form of a version.
func (p *packedDeployment) of(document []byte, version uint64) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.version != version || p.document == nil {
		p.version, p.document = version, compress(document)
	}
	return p.document
}

// pack compresses the value of a change when it is large.
func pack(change kumquathitch.KeyChange) kumquathitch.KeyChange {
	if len(change.Value) < packedFrom || change.Packed {
		return change
	}
	change.Value, change.Packed = compress(change.Value), true
	return change
}

// unpack is the inverse of pack.
func unpack(change kumquathitch.KeyChange) (kumquathitch.KeyChange, error) {
	if !change.Packed {
		return change, nil
	}
	value, err := decompress(change.Value)
	change.Value, change.Packed = value, false
	return change, err
}

func compress(value []byte) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(value) // Writes to a buffer do not fail.
	_ = writer.Close()
	return packed.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "packed value")
	}
	value, err := io.ReadAll(io.LimitReader(reader, unpackedLimit))
	return value, eris.Wrap(err, "packed value")
}
