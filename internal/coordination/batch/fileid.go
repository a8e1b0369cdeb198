package batch

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"merlintiller/internal/protocol"
)

// An uploaded file has no control record: its id is the offset of its
// description in DataStream with a hash of that description. So any instance
// can serve it, an upload costs the control stream nothing, and a crash in the
// middle of an upload leaves nothing to clean up.
//
// The hash is no secret. It catches an id that points at some other entry; who
// may read the file is decided by the organisation that the description names.
const (
	filePrefix   = "file-"
	outputPrefix = "file-out-"
	errorPrefix  = "file-err-"
)

func fileID(at protocol.Offset, description []byte) string {
	return fmt.Sprintf("%s%x-%016x", filePrefix, int64(at), xxhash.Sum64(description))
}

// parseFileID reads what fileID wrote.
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

// OutputFileID is the id of the file with a job's good results.
func OutputFileID(job protocol.JobID) string { return outputPrefix + string(job) }

// ErrorFileID is the id of the file with a job's failed and missing results.
func ErrorFileID(job protocol.JobID) string { return errorPrefix + string(job) }

// parseResultFileID reads what OutputFileID and ErrorFileID wrote.
func parseResultFileID(id string) (job protocol.JobID, failed, ok bool) {
	if rest, found := strings.CutPrefix(id, outputPrefix); found {
		return protocol.JobID(rest), false, rest != ""
	}
	if rest, found := strings.CutPrefix(id, errorPrefix); found {
		return protocol.JobID(rest), true, rest != ""
	}
	return "", false, false
}
