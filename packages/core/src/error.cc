#include "basilspread/core/error.h"

#include <array>

namespace basilspread {
namespace {

constexpr std::array kAnswers = {
    ErrorAnswer{ErrorKind::kNone, "ok", Execution::kRan, false, 200,
                "The request ran."},
    ErrorAnswer{ErrorKind::kBadRequest, "bad-request", Execution::kNotRun,
                false, 400, "The request is malformed."},
    ErrorAnswer{ErrorKind::kTooLarge, "too-large", Execution::kNotRun, false,
                413, "The request is larger than the limit."},
    ErrorAnswer{ErrorKind::kUnknownRoute, "unknown-route", Execution::kNotRun,
                false, 404, "No route has this name."},
    ErrorAnswer{ErrorKind::kUnknownJob, "unknown-job", Execution::kNotRun,
                false, 404, "No job has this identifier."},
    ErrorAnswer{ErrorKind::kQueueFull, "queue-full", Execution::kNotRun, true,
                429, "The queue of this route is full."},
    ErrorAnswer{ErrorKind::kDeadlineTooShort, "deadline-too-short",
                Execution::kNotRun, true, 503,
                "The request could not have finished before its deadline."},
    ErrorAnswer{ErrorKind::kDeadlinePassed, "deadline-passed",
                Execution::kNotRun, true, 504,
                "The deadline passed while the request waited."},
    ErrorAnswer{ErrorKind::kNoHost, "no-host", Execution::kNotRun, true, 503,
                "The pool has no live host."},
    ErrorAnswer{ErrorKind::kNotOwner, "not-owner", Execution::kNotRun, true,
                503, "The shard has moved to another owner."},
    ErrorAnswer{ErrorKind::kOwnerUnreachable, "owner-unreachable",
                Execution::kNotRun, true, 503,
                "The owner of the shard cannot be reached."},
    ErrorAnswer{ErrorKind::kLogUnavailable, "log-unavailable",
                Execution::kNotRun, true, 503,
                "The platform's log cannot be written now."},
    ErrorAnswer{ErrorKind::kStopping, "stopping", Execution::kNotRun, true, 503,
                "This process is stopping."},
    ErrorAnswer{ErrorKind::kNotReady, "not-ready", Execution::kNotRun, true,
                503, "This process has no tables in force yet."},
    ErrorAnswer{ErrorKind::kMinionRefused, "minion-refused", Execution::kNotRun,
                true, 502, "No minion could be connected to."},
    ErrorAnswer{ErrorKind::kMinionFailed, "minion-failed", Execution::kRan,
                false, 502, "The minion ran the request and failed."},
    ErrorAnswer{ErrorKind::kOutcomeUnknown, "outcome-unknown",
                Execution::kUnknown, false, 504,
                "The request may have run; its answer was lost."},
    ErrorAnswer{ErrorKind::kNeverFits, "never-fits", Execution::kNotRun, false,
                422, "No host of the pool can ever hold this."},
    ErrorAnswer{ErrorKind::kQuotaExceeded, "quota-exceeded", Execution::kNotRun,
                true, 429, "The team's quota does not allow this."},
    ErrorAnswer{ErrorKind::kConflict, "conflict", Execution::kNotRun, false,
                409, "Another edit or request came first."},
    ErrorAnswer{ErrorKind::kCancelled, "cancelled", Execution::kNotRun, false,
                409, "The work was cancelled before it ran."},
    ErrorAnswer{ErrorKind::kInvalidSettings, "invalid-settings",
                Execution::kNotRun, false, 400, "The settings are invalid."},
    ErrorAnswer{ErrorKind::kInvalidTables, "invalid-tables", Execution::kNotRun,
                false, 400, "The tables are invalid."},
    ErrorAnswer{ErrorKind::kProtocolMismatch, "protocol-mismatch",
                Execution::kNotRun, false, 502,
                "The peer speaks another version of the protocol."},
    ErrorAnswer{ErrorKind::kUnknownSubmission, "unknown-submission",
                Execution::kNotRun, false, 410,
                "No submission has this identifier."},
    ErrorAnswer{ErrorKind::kNoLeader, "no-leader", Execution::kNotRun, true,
                503, "No process leads at the moment."},
    ErrorAnswer{ErrorKind::kOverloaded, "overloaded", Execution::kNotRun, true,
                429, "There is more work than room for it."},
    ErrorAnswer{ErrorKind::kNotSupported, "not-supported", Execution::kNotRun,
                false, 400, "A part of the request is not supported."},
    ErrorAnswer{ErrorKind::kUnknownKey, "unknown-key", Execution::kNotRun,
                false, 401, "The call has no key of a workspace."},
    ErrorAnswer{ErrorKind::kTablesUnconfirmed, "tables-unconfirmed",
                Execution::kNotRun, true, 503,
                "This process cannot confirm that its tables are the newest."},
    ErrorAnswer{ErrorKind::kInternal, "internal", Execution::kUnknown, false,
                500, "An internal error occurred."},
};

constexpr bool IsInKindOrder() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) {
      return false;
    }
  }
  return kAnswers.size() == static_cast<std::size_t>(ErrorKind::kInternal) + 1;
}

static_assert(IsInKindOrder(), "every kind has its row, in order");

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kAnswers.at(static_cast<std::size_t>(kind));
}

ErrorKind ErrorKindNamed(std::string_view name) {
  for (const ErrorAnswer& answer : kAnswers) {
    if (answer.name == name) {
      return answer.kind;
    }
  }
  return ErrorKind::kInternal;
}

std::string_view NameOf(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not-run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace basilspread
