package batch

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// An uploaded file has no control record. Its id consists of the offset of its
// description in DataStream and a hash of that description. Therefore every
// instance can serve the file, an upload appends nothing to the control stream,
// and a crash during an upload leaves nothing to clean up.
//
// The hash is not a secret. It detects an id that refers to a different entry.
// Read access depends on the organisation in the description.
const (
	filePrefix   = "file-"
	outputPrefix = "file-out-"
	errorPrefix  = "file-err-"
)

// fileID is the id of the file whose description is stored at an offset.
func fileID(at protocol.Offset, description []byte) string {
	return fmt.Sprintf("%s%x-%016x", filePrefix, int64(at), xxhash.Sum64(description))
}

// parseFileID parses an id made by fileID.
func parseFileID(id string) (at protocol.Offset, hash uint64, ok bool) {
	rest, found := strings.CutPrefix(id, filePrefix)
	if !found {
		return 0, 0, false
	}
	position, sum, found := strings.Cut(rest, "-")
	if !found {
		return 0, 0, false
	}
	offset, err := strconv.ParseInt(position, 16, 64)
	if err != nil || offset < 0 || len(sum) != hex.EncodedLen(8) {
		return 0, 0, false
	}
	hash, err = strconv.ParseUint(sum, 16, 64)
	return protocol.Offset(offset), hash, err == nil
}

// OutputFileID is the id of the file with a job's successful results.
func OutputFileID(job protocol.JobID) string { return outputPrefix + string(job) }

// ErrorFileID is the id of the file with a job's failed results and with an
// error line for each item without a result.
func ErrorFileID(job protocol.JobID) string { return errorPrefix + string(job) }

// parseResultFileID parses an id made by OutputFileID or ErrorFileID. failed
// reports whether it belongs to an error file.
func parseResultFileID(id string) (job protocol.JobID, failed, ok bool) {
	if rest, found := strings.CutPrefix(id, outputPrefix); found {
		return protocol.JobID(rest), false, rest != ""
	}
	if rest, found := strings.CutPrefix(id, errorPrefix); found {
		return protocol.JobID(rest), true, rest != ""
	}
	return "", false, false
}
