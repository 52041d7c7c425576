#ifndef BASILSPREAD_CORE_ERROR_H_
#define BASILSPREAD_CORE_ERROR_H_

#include <string>
#include <string_view>

namespace basilspread {

/// The closed list of everything that a caller or operator can be told.
enum class ErrorKind {
  kNone,
  kBadRequest,
  kTooLarge,
  kUnknownRoute,
  kUnknownJob,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlinePassed,
  kNoHost,
  kNotOwner,
  kOwnerUnreachable,
  kLogUnavailable,
  kStopping,
  kNotReady,
  kMinionRefused,
  kMinionFailed,
  kOutcomeUnknown,
  kNeverFits,
  kQuotaExceeded,
  kConflict,
  kCancelled,
  kInvalidSettings,
  kInvalidTables,
  kProtocolMismatch,
  kUnknownSubmission,
  kNoLeader,
  kOverloaded,
  kNotSupported,
  kUnknownKey,
  kTablesUnconfirmed,
  kInternal,
};

/// Whether the work behind an answer ran on a host.
enum class Execution { kNotRun, kRan, kUnknown };

/// What a caller is told for one kind of error.
struct ErrorAnswer {
  ErrorKind kind;
  /// Stable name for programs, for example "queue-full".
  std::string_view name;
  Execution execution;
  /// Whether the same request may succeed later without a change.
  bool retryable;
  /// Status for front ends that speak HTTP.
  int http_status;
  /// One sentence for people.
  std::string_view sentence;
};

/// The row of the answer table for `kind`; every kind has one.
const ErrorAnswer& AnswerFor(ErrorKind kind);

/// The kind with this name; kInternal when there is none.
ErrorKind ErrorKindNamed(std::string_view name);

/// Stable name for programs: "not-run", "ran" or "unknown".
std::string_view NameOf(Execution execution);

/// An error kind with the detail that explains this instance of it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_ERROR_H_
