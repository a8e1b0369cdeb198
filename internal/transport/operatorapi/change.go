package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/replica"
)

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var request ChangeRequest
	if refusal := decodeBody(w, r, &request); refusal != nil {
		writeRefusal(w, refusal, "correct the request; nothing was changed")
		return
	}
	if request.ChangeID == "" || len(request.Set)+len(request.Remove) == 0 {
		writeRefusal(w, protocol.Refuse(protocol.CodeBadRequest, 0, "a change needs a change_id and at least one object to set or remove"),
			"correct the request; nothing was changed")
		return
	}
	change := protocol.FleetChange{
		ChangeID: request.ChangeID,
		BasedOn:  request.BasedOn,
		Set:      request.Set,
		Remove:   request.Remove,
		Operator: operatorFrom(r),
		At:       request.At,
	}
	if refusal := h.validate(&change); refusal != nil {
		writeRefusal(w, refusal, "correct the folder; nothing was changed")
		return
	}
	// The record is submitted even if the operator's connection breaks. The
	// operator can then see the outcome from the version in force.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	outcome := h.config.Journal.Submit(ctx, protocol.Record{FleetChange: &change})
	_ = level.Info(h.config.Logger).Log("event", "fleet_change", "operator", operatorFrom(r), "change", request.ChangeID,
		"based_on", int64(request.BasedOn), "verdict", string(outcome.Verdict), "run", string(outcome.Run),
		"offset", int64(outcome.Offset), "err", outcome.Err)
	h.writeChangeResult(w, request, outcome)
}

// validate rejects a change that does not fit into one log entry or that replay
// would reject. Unlike a verdict, its refusal contains the reason. If the version in
// force is not the one that the change is based on, validate does not check the
// change against replay's rules, so that the caller gets a conflict instead.
func (h *Handler) validate(change *protocol.FleetChange) *protocol.Refusal {
	for _, object := range change.Set {
		if object.Key != nil && object.Key.ID.LooksLikeSecret() {
			return protocol.Refuse(protocol.CodeBadRequest, 0, "the ID of a key begins like a secret; provide the ID and the hash, never the secret")
		}
	}
	frame := protocol.Frame{Records: []protocol.Record{{FleetChange: change}}}
	if _, err := protocol.EncodeFrame(frame); err != nil {
		return protocol.Refuse(protocol.CodeTooLarge, 0, "the change does not fit into one log entry: %v; apply the folder in parts", err)
	}
	current := h.config.Journal.Fleet()
	if current.Version != change.BasedOn {
		return nil
	}
	if err := fleet.Validate(current, change); err != nil {
		return protocol.Refuse(protocol.CodeBadRequest, 0, "%v", err)
	}
	return nil
}

func (h *Handler) writeChangeResult(w http.ResponseWriter, request ChangeRequest, outcome coordination.Outcome) {
	if refusal, next := h.changeRefusal(request, outcome); refusal != nil {
		writeRefusal(w, refusal, next)
		return
	}
	result := ChangeAnswer{Verdict: outcome.Verdict, Version: outcome.Offset}
	result.Message = fmt.Sprintf("version %d is in force at %s", outcome.Offset, h.config.Instance)
	if outcome.Verdict == protocol.Duplicate {
		h.config.Journal.View(func(state *replica.State) {
			result.Version, _ = state.Fleet.VersionOf(request.ChangeID)
		})
		result.Message = "this change had already taken effect; nothing was changed again"
	}
	result.Next = "run status to check that the version is in force at every instance"
	writeJSON(w, http.StatusOK, result)
}

// changeRefusal returns the refusal and the next step for an outcome that is not a
// success.
func (h *Handler) changeRefusal(request ChangeRequest, outcome coordination.Outcome) (*protocol.Refusal, string) {
	switch outcome.Run {
	case protocol.NotRun:
		return protocol.Refuse(protocol.CodePlatformDown, retryLogDown, "the platform's log can't be reached; nothing was changed"),
			"run the same command again when the platform is available; keys can be withdrawn in the meantime"
	case protocol.MayHaveRun:
		return protocol.Uncertain(protocol.CodeMayHaveTakenEffect, "the log did not confirm the change; it may have taken effect"),
			"run the same command again: it has no effect if the change is already in force"
	}
	switch outcome.Verdict {
	case protocol.Accepted, protocol.Duplicate:
		return nil, ""
	case protocol.Conflict:
		return protocol.Refuse(protocol.CodeConflict, 0,
			"another change came first: this change is based on version %d, but version %d is in force; this change was not applied",
			request.BasedOn, h.config.Journal.Fleet().Version), "run config diff, then apply again"
	case protocol.NoSession:
		return protocol.Refuse(protocol.CodeInstanceStarting, retryLogDown, "the instance has no session; nothing was changed"),
			"run the same command again, or use another instance"
	default:
		return protocol.Refuse(protocol.CodeBadRequest, 0, "the change was rejected with the verdict %s; nothing was changed", outcome.Verdict),
			"run config check on the folder"
	}
}

// maxKeyID is the maximum length of a key ID in bytes.
const maxKeyID = 63

func (h *Handler) withdraw(w http.ResponseWriter, r *http.Request) {
	key := protocol.KeyID(r.PathValue("id"))
	if key.LooksLikeSecret() || len(key) > maxKeyID || !utf8.ValidString(string(key)) {
		// The value may be a secret. A record in the log would publish it.
		writeRefusal(w, protocol.Refuse(protocol.CodeBadRequest, 0, "invalid key ID; nothing was changed"),
			"provide the ID that key list shows, never the secret")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	result := h.config.Withdraw.Withdraw(ctx, key, operatorFrom(r))
	_ = level.Info(h.config.Logger).Log("event", "key_withdrawn", "operator", operatorFrom(r), "key", string(key),
		"in_log", confirmedByLog(result), "told", len(result.Confirmed), "unreached", len(result.Unreached), "err", result.Log.Err)
	status := http.StatusOK
	if !confirmedByLog(result) {
		// Status 202: the withdrawal may not have reached every instance.
		status = http.StatusAccepted
	}
	writeJSON(w, status, h.withdrawAnswer(key, result))
}

// confirmedByLog reports whether the log contains the withdrawal.
func confirmedByLog(result withdrawal.Result) bool {
	return result.Log.Run == protocol.Completed &&
		(result.Log.Verdict == protocol.Accepted || result.Log.Verdict == protocol.Duplicate)
}

func (h *Handler) withdrawAnswer(key protocol.KeyID, result withdrawal.Result) WithdrawAnswer {
	out := WithdrawAnswer{Key: key, InLog: confirmedByLog(result), Confirmed: result.Confirmed, Unreached: result.Unreached}
	if out.InLog {
		out.Message = fmt.Sprintf("key %s is withdrawn: %s and %d other instances reject the key, and so will every instance that reads the log",
			key, h.config.Instance, len(result.Confirmed))
		out.Next = "nothing; an instance that reaches neither the log nor its peers learns of the withdrawal when it is reachable again"
		return out
	}
	out.Message = fmt.Sprintf("key %s is rejected by %s and %d other instances; the log has not confirmed the withdrawal",
		key, h.config.Instance, len(result.Confirmed))
	out.Next = "run the same command again when the log is available; until then, run it at one instance of each isolated domain"
	return out
}
