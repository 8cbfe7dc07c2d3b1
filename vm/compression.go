package vm

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"kumquathitch.example/kumquathitch"
)

const (
	// minCompressedBytes is the size from which changes are compressed for other VMs.
	// A configuration with 1,500 routes is sent to every VM, and requests for engines
	// wait behind it on the same link.
	minCompressedBytes = 4 << 10
	// maxDecompressedBytes bounds the decompressed size of a value from another VM. The
	// store allows 1 MB a key, and a VM may have only 184 MB of memory.
	maxDecompressedBytes = 16 << 20
)

// compressedDeployment caches the compressed form of the configuration in force,
// which is sent to many VMs.
type compressedDeployment struct {
	mutex    sync.Mutex
	version  uint64
	document []byte
}

// forVersion returns the compressed form of a version.
func (d *compressedDeployment) forVersion(document []byte, version uint64) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.version != version || d.document == nil {
		d.version, d.document = version, compress(document)
	}
	return d.document
}

// packChanges encodes and compresses changes. It returns nil when that fails.
func packChanges(changes []kumquathitch.KeyChange) []byte {
	encoded, err := json.Marshal(changes)
	if err != nil {
		return nil // The changes are then sent as they are.
	}
	return compress(encoded)
}

// unpackChanges decompresses the changes of a response and sorts all of them by revision.
func unpackChanges(response *kumquathitch.ExchangeResponse) error {
	packed := response.Segments
	if len(response.PackedChanges) > 0 {
		packed = append(packed, response.PackedChanges)
	}
	for _, segment := range packed {
		encoded, err := decompress(segment)
		if err != nil {
			return err
		}
		var changes []kumquathitch.KeyChange
		if err := json.Unmarshal(encoded, &changes); err != nil {
			return eris.Wrap(err, "compressed changes")
		}
		response.Changes = append(response.Changes, changes...)
	}
	slices.SortStableFunc(response.Changes, func(a, b kumquathitch.KeyChange) int { return cmp.Compare(a.Revision, b.Revision) })
	return nil
}

func compress(value []byte) []byte {
	var compressed bytes.Buffer
	writer := gzipWriters.Get().(*gzip.Writer) //nolint:forcetypeassert // The pool holds nothing else.
	defer gzipWriters.Put(writer)
	writer.Reset(&compressed)
	_, _ = writer.Write(value) // Writes to a buffer do not fail.
	_ = writer.Close()
	return compressed.Bytes()
}

// gzipWriters are reused, since each one allocates about a megabyte.
var gzipWriters = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // The level is valid.
	return writer
}}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "compressed value")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if len(value) > maxDecompressedBytes {
		return nil, eris.Errorf("compressed value: more than %d bytes", maxDecompressedBytes)
	}
	return value, eris.Wrap(err, "compressed value")
}
