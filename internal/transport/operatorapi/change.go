package operatorapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-kit/log/level"

	"merlintiller/internal/coordination"
	"merlintiller/internal/coordination/withdrawal"
	"merlintiller/internal/protocol"
	"merlintiller/internal/state/fleet"
	"merlintiller/internal/state/replica"
)

func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	var request ChangeRequest
	if refusal := read(w, r, &request); refusal != nil {
		refuse(w, refusal, "mend the request; nothing was changed")
		return
	}
	if request.ChangeID == "" || len(request.Set)+len(request.Remove) == 0 {
		refuse(w, protocol.Refuse(protocol.CodeBadRequest, 0, "a change needs a change_id and something to set or remove"),
			"mend the request; nothing was changed")
		return
	}
	change := protocol.FleetChange{
		ChangeID: request.ChangeID,
		BasedOn:  request.BasedOn,
		Set:      request.Set,
		Remove:   request.Remove,
		Operator: operatorOf(r),
		At:       request.At,
	}
	if refusal := h.validate(&change); refusal != nil {
		refuse(w, refusal, "mend the folder; nothing was changed")
		return
	}
	// The record is submitted even if the operator's connection breaks: the
	// operator learns its fate from the version in force.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	outcome := h.config.Journal.Submit(ctx, protocol.Record{FleetChange: &change})
	_ = level.Info(h.config.Logger).Log("event", "fleet_change", "operator", operatorOf(r), "change", request.ChangeID,
		"based_on", int64(request.BasedOn), "verdict", string(outcome.Verdict), "run", string(outcome.Run),
		"offset", int64(outcome.Offset), "err", outcome.Err)
	h.answerChange(w, request, outcome)
}

// validate refuses a change that fits in no log entry, or that replay would reject, with the reason, which a
// verdict does not carry. It only speaks for the version that the change was
// made from: of another one a conflict is the truer answer.
func (h *Handler) validate(change *protocol.FleetChange) *protocol.Refusal {
	for _, object := range change.Set {
		if object.Key != nil && object.Key.ID.LooksLikeSecret() {
			return protocol.Refuse(protocol.CodeBadRequest, 0, "the id of a key begins like a secret; give the id and the hash, never the secret")
		}
	}
	frame := protocol.Frame{Records: []protocol.Record{{FleetChange: change}}}
	if _, err := protocol.EncodeFrame(frame); err != nil {
		return protocol.Refuse(protocol.CodeTooLarge, 0, "the change can't be one log entry: %v; apply the folder in parts", err)
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

func (h *Handler) answerChange(w http.ResponseWriter, request ChangeRequest, outcome coordination.Outcome) {
	if refusal, next := h.changeRefusal(request, outcome); refusal != nil {
		refuse(w, refusal, next)
		return
	}
	result := ChangeAnswer{Verdict: outcome.Verdict, Version: outcome.Offset}
	result.Message = fmt.Sprintf("version %d is in force at %s", outcome.Offset, h.config.Instance)
	if outcome.Verdict == protocol.Duplicate {
		h.config.Journal.View(func(state *replica.State) {
			result.Version, _ = state.Fleet.VersionOf(request.ChangeID)
		})
		result.Message = "this change took effect before; nothing was done again"
	}
	result.Next = "run status to see it in force at every instance"
	answer(w, http.StatusOK, result)
}

// changeRefusal turns an outcome that is no success into the final answer.
func (h *Handler) changeRefusal(request ChangeRequest, outcome coordination.Outcome) (*protocol.Refusal, string) {
	switch outcome.Run {
	case protocol.NotRun:
		return protocol.Refuse(protocol.CodePlatformDown, retryLogDown, "the platform's log can't be reached; nothing was changed"),
			"run the same command again when the platform is back; withdrawing a key works meanwhile"
	case protocol.MayHaveRun:
		return protocol.Uncertain(protocol.CodeMayHaveTakenPlace, "the log did not confirm the change; it may have taken effect"),
			"run the same command again: it does nothing if the change is in force already"
	}
	switch outcome.Verdict {
	case protocol.Accepted, protocol.Duplicate:
		return nil, ""
	case protocol.Conflict:
		return protocol.Refuse(protocol.CodeConflict, 0,
			"another change came first: yours was made from version %d and version %d is in force; yours was not applied",
			request.BasedOn, h.config.Journal.Fleet().Version), "look at config diff, then apply again"
	case protocol.NoSession:
		return protocol.Refuse(protocol.CodeInstanceStarting, retryLogDown, "the instance has no session; nothing was changed"),
			"run the same command again, or use another instance"
	default:
		return protocol.Refuse(protocol.CodeBadRequest, 0, "the change was rejected as %s; nothing was changed", outcome.Verdict),
			"run config check on the folder"
	}
}

// maxKeyID bounds the id of a key, in bytes.
const maxKeyID = 63

func (h *Handler) withdraw(w http.ResponseWriter, r *http.Request) {
	key := protocol.KeyID(r.PathValue("id"))
	if key.LooksLikeSecret() || len(key) > maxKeyID {
		// Published, it would stand in the log for everybody to read.
		refuse(w, protocol.Refuse(protocol.CodeBadRequest, 0, "this is no id of a key; nothing was changed"),
			"give the id, which key list shows, and never the secret")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	result := h.config.Withdraw.Withdraw(ctx, key, operatorOf(r))
	_ = level.Info(h.config.Logger).Log("event", "key_withdrawn", "operator", operatorOf(r), "key", string(key),
		"in_log", inLog(result), "told", len(result.Told), "unreached", len(result.Unreached), "err", result.Log.Err)
	status := http.StatusOK
	if !inLog(result) {
		// Accepted, not done: it has not reached every instance for sure.
		status = http.StatusAccepted
	}
	answer(w, status, h.withdrawAnswer(key, result))
}

func inLog(result withdrawal.Result) bool {
	return result.Log.Run == protocol.Completed &&
		(result.Log.Verdict == protocol.Accepted || result.Log.Verdict == protocol.Duplicate)
}

func (h *Handler) withdrawAnswer(key protocol.KeyID, result withdrawal.Result) WithdrawAnswer {
	out := WithdrawAnswer{Key: key, InLog: inLog(result), Confirmed: result.Told, Unreached: result.Unreached}
	if out.InLog {
		out.Message = fmt.Sprintf("key %s is withdrawn: %s and %d other instances refuse it, and the log brings it to all that read it",
			key, h.config.Instance, len(result.Told))
		out.Next = "nothing; an instance cut off from the log and from its peers learns of it when it is reachable again"
		return out
	}
	out.Message = fmt.Sprintf("key %s is refused at %s and %d other instances; the log has not confirmed it",
		key, h.config.Instance, len(result.Told))
	out.Next = "run the same command again when the log is back; meanwhile run it at one instance of each domain that is cut off"
	return out
}
